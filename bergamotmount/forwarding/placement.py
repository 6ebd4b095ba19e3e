"""Placement: the server that is expected to answer first.

Load pattern: servers of one service differ in speed by a factor of three, one
of them slows down or fails part of its requests while its health is good, and
bytes between failure domains are dear. Load alone sends as much to the slow
server as it can hold, and every chain of calls that passes it runs late.

The expected time of a server is its own mean service time, stretched by its
queue and by the share of its answers that failed lately. A server in another
failure domain must be expected to answer clearly sooner than a near one.
"""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.routing import Router

#: Factor on the expected time of a server in another failure domain, and the
#: time that crossing takes beside it.
FAR_FACTOR = 1.5
FAR_MS = 5

#: Servers of other failure domains that are compared for one request.
FAR_SAMPLE = 3

#: Weight of one more answer in the share of failed ones.
FAILURE_WEIGHT = 0.15

#: Time over which a share of failures fades by half without new answers.
FAILURE_HALF_LIFE_MS = 4000

#: Age at which a report of a service time no longer counts.
SERVICE_TIME_LIFE_MS = 5000

#: Least share of successes that expected times are divided by.
LEAST_SUCCESS = 0.05

#: Share of a server's limit at which waiting grows without bound, the share
#: from which it is taken to grow evenly instead, and by how much then.
CROWDED_LOAD = 1.15
FULL_LOAD = 1.1
OVER_FULL_FACTOR = 60

#: Factor on the expected time of a server whose node is silent.
SUSPECT_FACTOR = 1000

_PERMILLE = 1000


def _is_never_suspect(_address: str) -> bool:
    return False


@dataclasses.dataclass(slots=True)
class _Observed:
    """What answers told of one server."""

    service_ms: float = 0
    reported_ms: float = float('-inf')
    failures: float = 0
    failures_ms: float = 0


class Placement(Router):
    """Router that picks by expected time to a good answer."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        rng: random.Random,
        is_suspect: Callable[[str], bool] = _is_never_suspect,
    ) -> None:
        """Place among ``members``, seen from the own node.

        An address for which ``is_suspect`` holds is taken last.
        """
        super().__init__(clock, members, rng)
        self._is_suspect = is_suspect
        self._observed_by_node: dict[str, _Observed] = {}

    def pick(self, service: str, tried: Collection[str]) -> Member | None:
        """Return a server of a service, ``None`` when there is none left."""
        candidates = self._members.routable(service)
        if tried:
            candidates = [each for each in candidates if each.node not in tried]
        if not candidates:
            return None
        domain = self._members.local.failure_domain
        near = [each for each in candidates if each.failure_domain == domain]
        far = [each for each in candidates if each.failure_domain != domain]
        if len(far) > FAR_SAMPLE:
            far = self._rng.sample(far, FAR_SAMPLE)
        usual_ms = self._usual_ms(candidates)
        return min(
            (*near, *far), key=lambda each: self._cost_ms(each, usual_ms)
        )

    def served(self, node: str, service_ms: float, is_good: bool) -> None:
        """Take over an answer: the server's mean time, and how it went."""
        observed = self._observed(node)
        now_ms = self._clock.now_ms()
        if service_ms:
            observed.service_ms = service_ms
            observed.reported_ms = now_ms
        failures = self._failures(observed, now_ms)
        failures += FAILURE_WEIGHT * ((not is_good) - failures)
        observed.failures = failures
        observed.failures_ms = now_ms

    def forget(self, node: str) -> None:
        """Drop what is known of a node that is gone."""
        super().forget(node)
        self._observed_by_node.pop(node, None)

    def expected_ms(self, member: Member, usual_ms: float) -> float:
        """Return the expected time to a good answer.

        ``usual_ms`` stands for the service time of a server that has not
        told its own.
        """
        now_ms = self._clock.now_ms()
        observed = self._observed(member.node)
        is_fresh = now_ms - observed.reported_ms < SERVICE_TIME_LIFE_MS
        service_ms = observed.service_ms if is_fresh else usual_ms
        success = max(1 - self._failures(observed, now_ms), LEAST_SUCCESS)
        load = self.load_permille(member) / _PERMILLE
        return service_ms * _crowding(load) / success

    def _cost_ms(self, member: Member, usual_ms: float) -> float:
        cost_ms = self.expected_ms(member, usual_ms)
        if self._is_suspect(member.address):
            cost_ms *= SUSPECT_FACTOR
        if member.failure_domain == self._members.local.failure_domain:
            return cost_ms
        return cost_ms * FAR_FACTOR + FAR_MS

    def _usual_ms(self, members: Sequence[Member]) -> float:
        known = [
            observed.service_ms
            for observed in map(self._observed, (each.node for each in members))
            if observed.service_ms
        ]
        return sum(known) / len(known) if known else 1

    def _failures(self, observed: _Observed, now_ms: float) -> float:
        age_ms = now_ms - observed.failures_ms
        return observed.failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def _observed(self, node: str) -> _Observed:
        observed = self._observed_by_node.get(node)
        if observed is None:
            observed = _Observed()
            self._observed_by_node[node] = observed
        return observed


def _crowding(load: float) -> float:
    """Return how much longer a server takes at a share of its limit."""
    below_full = min(load, FULL_LOAD)
    stretch = 1 + below_full**2 / (CROWDED_LOAD - below_full)
    return stretch + (load - below_full) * OVER_FULL_FACTOR
