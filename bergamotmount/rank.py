"""Rank of a request: its priority under overload, lowest rank first.

The rank is the operation's level plus a fraction, a hash of the root request
id. All nodes compute the same fraction. They therefore admit the same root
requests, and the work for a request isn't wasted by a refusal at a later
service.
"""

from bergamotmount.hashing import hash32

#: Number of importance levels; level 0 is the most important.
LEVELS = 4

#: Threshold that admits every request.
ADMIT_ALL_RANK = float(LEVELS)

_HASH_RANGE = 1 << 32


def rank_of(level: int, root: str) -> float:
    """Return the rank of a request of a level with a root request id.

    >>> 1 <= rank_of(1, 'a-root-id') < 2
    True
    """
    return level + hash32(root) / _HASH_RANGE
