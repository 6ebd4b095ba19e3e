"""Routing: choice of the backend server for a call.

Servers in the local failure domain are preferred. Of two random candidates
the less loaded one is chosen; if that one is fully loaded, calls spill over to
other failure domains. An unreachable server is avoided for a period that grows
with each failure up to a maximum; afterwards it is eligible again.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.membership import Members

#: Load, in thousandths of the limit, from which calls spill over.
SPILLOVER_PERMILLE = 1000

#: Time after which a load report no longer counts.
MAX_REPORT_AGE_MS = 500

#: Initial and maximum time for which an unreachable server is avoided.
MIN_AVOID_MS = 200
MAX_AVOID_MS = 2000

#: Time for which a server that failed last is avoided by further requests
#: after one was sent to it to try it again.
PROBE_MS = 500

#: Load assumed for an avoided server; it is chosen only as a last resort.
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
    """Picks backend servers by load and failure domain."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Route among ``members``, from the view of the local node."""
        self._clock = clock
        self.members = members
        self._rng = rng
        self._load_by_node: dict[str, _Load] = {}

    def pick(self, service: str, tried: Collection[str]) -> Member | None:
        """Return a server of a service, ``None`` if there is none left.

        ``tried`` holds the names of nodes that must not be picked.
        """
        candidates = self.members.routable(service)
        if tried:
            candidates = [each for each in candidates if each.node not in tried]
        if not candidates:
            return None
        domain = self.members.local.failure_domain
        local = [each for each in candidates if each.failure_domain == domain]
        best = self._less_loaded(local) if local else None
        if best is not None and self.load_permille(best) < SPILLOVER_PERMILLE:
            return best
        other = self._less_loaded(candidates)
        if best is None or self.load_permille(other) < self.load_permille(best):
            return other
        return best

    def load_permille(self, member: Member) -> float:
        """Return the known load of a member, in thousandths of its limit."""
        load = self._load_by_node.get(member.node)
        if load is None:
            return 0
        now_ms = self._clock.now_ms()
        if now_ms < load.avoid_until_ms:
            return _AVOIDED_PERMILLE
        permille = _PERMILLE * load.outstanding / max(member.slots, 1)
        if now_ms - load.reported_ms < MAX_REPORT_AGE_MS:
            return max(permille, load.reported_permille)
        return permille

    def begin_call(self, node: str) -> None:
        """Count a call that is sent to a node as outstanding."""
        load = self._load(node)
        load.outstanding += 1
        if load.failures:
            probed_until_ms = self._clock.now_ms() + PROBE_MS
            load.avoid_until_ms = max(load.avoid_until_ms, probed_until_ms)

    def end_call(self, node: str) -> None:
        """Count a call as no longer outstanding at a node."""
        self._load(node).outstanding -= 1

    def record_load(self, node: str, load_permille: int) -> None:
        """Record the load that a node reports, and that it is reachable."""
        load = self._load(node)
        load.reported_permille = load_permille
        load.reported_ms = self._clock.now_ms()
        load.failures = 0
        load.avoid_until_ms = 0

    def record_failure(self, node: str) -> None:
        """Avoid an unreachable node for a while."""
        load = self._load(node)
        avoid_ms = min(MIN_AVOID_MS * (1 << load.failures), MAX_AVOID_MS)
        if avoid_ms < MAX_AVOID_MS:
            load.failures += 1
        load.avoid_until_ms = self._clock.now_ms() + avoid_ms

    def forget(self, node: str) -> None:
        """Discard the state of a node, unless calls to it are outstanding."""
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
