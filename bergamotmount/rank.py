"""Rank of a request: the order in which requests are kept under overload.

The rank is the operation's level plus a fraction drawn from the root request
id. All nodes compute the same fraction, so a root request that one service
keeps is kept by the others too, and its work isn't thrown away halfway.
"""

from bergamotmount.hashing import hash32

#: Number of importance levels; level 0 is the most important.
LEVELS = 4

#: A threshold at which nothing is refused.
OPEN_RANK = float(LEVELS)

_HASH_RANGE = 1 << 32


def rank_of(level: int, root: str) -> float:
    """Return the rank of a request with the root id at a level.

    >>> 1 <= rank_of(1, 'a-root-id') < 2
    True
    """
    return level + hash32(root) / _HASH_RANGE
