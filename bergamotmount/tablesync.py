"""Repair of member tables that have missed updates.

Two nodes compare one digest of the whole table with each heartbeat. It also
differs while updates are on their way, so a difference matters only once the
table has settled or the difference has lasted. Then one node sends digests of
parts of its table, and both return the entries in the parts that differ.
"""

import dataclasses
from collections.abc import Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.tabledigest import (
    MAX_BUCKETS,
    bucket_digests,
    differing_buckets,
    members_in,
)

#: Time without changes of the member table after which a differing digest
#: means that updates were missed, rather than that some are on their way.
SETTLED_MS = 1000

#: Time for which digests may differ although the table keeps changing, and
#: the minimum time between two exchanges with one peer.
MAX_MISMATCH_MS = 4000
MIN_EXCHANGE_INTERVAL_MS = 1000


@dataclasses.dataclass(slots=True)
class SyncState:
    """When the digests of a peer last matched, and were last exchanged.

    ``matched_ms`` starts with the first contact.
    """

    matched_ms: float
    exchanged_ms: float = float('-inf')


class TableSync:
    """Decides when tables are compared, and which entries differ."""

    def __init__(self, clock: Clock, members: Members) -> None:
        """Compare the first table at the first contact with any peer."""
        self._clock = clock
        self._members = members
        self._has_compared = False

    def digests(self, like: Sequence[int] = ()) -> list[int]:
        """Return digests of the table's parts, as many as a peer has sent."""
        return bucket_digests(self._table(), min(len(like), MAX_BUCKETS))

    def differing_members(self, digests: Sequence[int]) -> list[Member]:
        """Return the members of the parts that differ at a peer."""
        if not digests or len(digests) > MAX_BUCKETS:
            return []
        self._has_compared = True
        buckets = differing_buckets(self._table(), digests)
        return members_in(self._table(), buckets, len(digests))

    def wants_exchange(self, state: SyncState, digest: int) -> bool:
        """Return whether to exchange digests with a peer, and record that."""
        now_ms = self._clock.now_ms()
        if digest == self._members.digest:
            state.matched_ms = now_ms
            self._has_compared = True
            return False
        if now_ms - state.exchanged_ms < MIN_EXCHANGE_INTERVAL_MS:
            return False
        if self._has_compared and not self._has_missed_updates(state, now_ms):
            return False
        state.exchanged_ms = now_ms
        return True

    def _has_missed_updates(self, state: SyncState, now_ms: float) -> bool:
        max_mismatch_ms = MAX_MISMATCH_MS
        if self._members.unchanged_ms > SETTLED_MS:
            max_mismatch_ms = SETTLED_MS
        return now_ms - state.matched_ms > max_mismatch_ms

    def _table(self) -> Collection[Member]:
        return self._members.member_by_node.values()
