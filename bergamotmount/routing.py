"""Routing: which backend server gets a call.

Servers in the own failure domain come first. Of two random candidates the
less loaded is taken, and when that one is busy the choice spills over to
other failure domains. A server that couldn't be reached is avoided for a
while that grows with each failure and fades by itself.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.membership import Members

#: Load, in thousandths of the limit, above which calls spill over.
SPILL_PERMILLE = 1000

#: Time after which a load report no longer counts.
REPORT_LIFE_MS = 500

#: First and longest time for which an unreachable server is avoided.
MIN_AVOID_MS = 200
MAX_AVOID_MS = 2000

#: Load that an avoided server counts as, so that it is taken last.
_AVOIDED_PERMILLE = 1_000_000
_PERMILLE = 1000


@dataclasses.dataclass(slots=True)
class _Load:
    outstanding: int = 0
    reported_permille: int = 0
    reported_ms: float = float('-inf')
    failures: int = 0
    avoid_until_ms: float = 0


class Router:
    """Picks backend servers from the member table by load and distance."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Route among ``members``, seen from the own node."""
        self._clock = clock
        self._members = members
        self._rng = rng
        self._load_by_node: dict[str, _Load] = {}

    def pick(self, service: str, tried: Collection[str]) -> Member | None:
        """Return a server of a service, ``None`` when there is none left.

        ``tried`` are the names of nodes that must not be picked.
        """
        candidates = self._members.routable(service)
        if tried:
            candidates = [each for each in candidates if each.node not in tried]
        if not candidates:
            return None
        domain = self._members.local.failure_domain
        near = [each for each in candidates if each.failure_domain == domain]
        best = self._less_loaded(near) if near else None
        if best is not None and self.load_permille(best) < SPILL_PERMILLE:
            return best
        other = self._less_loaded(candidates)
        if best is None or self.load_permille(other) < self.load_permille(best):
            return other
        return best

    def load_permille(self, member: Member) -> float:
        """Return a member's load as known here, in thousandths."""
        load = self._load_by_node.get(member.node)
        if load is None:
            return 0
        now_ms = self._clock.now_ms()
        if now_ms < load.avoid_until_ms:
            return _AVOIDED_PERMILLE
        permille = _PERMILLE * load.outstanding / max(member.slots, 1)
        if now_ms - load.reported_ms < REPORT_LIFE_MS:
            return max(permille, load.reported_permille)
        return permille

    def sent(self, node: str) -> None:
        """Count a call as outstanding at a node."""
        self._load(node).outstanding += 1

    def returned(self, node: str) -> None:
        """Count a call as no longer outstanding."""
        self._load(node).outstanding -= 1

    def reported(self, node: str, load_permille: int) -> None:
        """Take over the load that a node reports; it is reachable."""
        load = self._load(node)
        load.reported_permille = load_permille
        load.reported_ms = self._clock.now_ms()
        load.failures = 0
        load.avoid_until_ms = 0

    def failed(self, node: str) -> None:
        """Avoid a node that couldn't be reached."""
        load = self._load(node)
        avoid_ms = min(MIN_AVOID_MS * (1 << load.failures), MAX_AVOID_MS)
        if avoid_ms < MAX_AVOID_MS:
            load.failures += 1
        load.avoid_until_ms = self._clock.now_ms() + avoid_ms

    def forget(self, node: str) -> None:
        """Drop what is known of a node that is gone and owes nothing."""
        load = self._load_by_node.get(node)
        if load is not None and not load.outstanding:
            self._load_by_node.pop(node)

    def _load(self, node: str) -> _Load:
        return self._load_by_node.setdefault(node, _Load())

    def _less_loaded(self, members: Sequence[Member]) -> Member:
        if len(members) == 1:
            return members[0]
        weights = [member.slots for member in members]
        first, second = self._rng.choices(members, weights, k=2)
        if self.load_permille(second) < self.load_permille(first):
            return second
        if self.load_permille(first) < _AVOIDED_PERMILLE:
            return first
        return min(members, key=self.load_permille)
