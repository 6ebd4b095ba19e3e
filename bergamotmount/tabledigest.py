"""Digests of the member table, to find the entries in which two tables differ.

One digest of the whole table travels on each heartbeat. If it differs for
longer than updates need to spread, the nodes compare digests of parts of the
table and exchange only the entries in the parts that differ::

    digests = bucket_digests(members)
    for member in members_in(members, differing_buckets(members, digests)):
        ...
"""

import itertools
from collections.abc import Collection, Iterable, Sequence

from bergamotmount.hashing import hash64
from bergamotmount.member import GONE, Member

#: Mean number of members in a bucket, and the maximum number of buckets.
MEMBERS_PER_BUCKET = 3
MAX_BUCKETS = 512

_DIGEST_MASK = (1 << 63) - 1


def digest_of(member: Member) -> int:
    """Return the digest of one entry; gone members have none."""
    if member.state in GONE:
        return 0
    return hash64(f'{member.node} {member.freshness}') & _DIGEST_MASK


def bucket_digests(members: Collection[Member], count: int = 0) -> list[int]:
    """Return the digests of ``count`` buckets, by default as many as fit."""
    buckets = count or min(len(members) // MEMBERS_PER_BUCKET + 1, MAX_BUCKETS)
    digests = list(itertools.repeat(0, buckets))
    for member in members:
        digests[_bucket_of(member, buckets)] ^= digest_of(member)
    return digests


def differing_buckets(
    members: Collection[Member], digests: Sequence[int]
) -> set[int]:
    """Return the buckets in which ``members`` differ from a peer's digests."""
    local_digests = bucket_digests(members, len(digests))
    return {
        bucket
        for bucket, digest in enumerate(digests)
        if digest != local_digests[bucket]
    }


def members_in(
    members: Iterable[Member], buckets: Collection[int], count: int
) -> list[Member]:
    """Return the members in some of ``count`` buckets, gone ones included."""
    if not buckets:
        return []
    return [
        member for member in members if _bucket_of(member, count) in buckets
    ]


def _bucket_of(member: Member, count: int) -> int:
    return hash64(member.node) % count
