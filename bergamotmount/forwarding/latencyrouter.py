"""Latency-aware routing: selects the server expected to answer first.

Load pattern: the servers of a service differ in speed by a factor of three,
one of them slows down or has a gray failure (it fails part of its requests
while its health check passes), and traffic between failure domains is
expensive. Routing by load alone fills the slow server up to its limit, and
every chain of calls through it is late. With hundreds of nodes all entries see
the same few reports, which are seconds old: if each took the best server, all
would take the same one. Each therefore compares a random sample.

The expected latency of a server is its reported mean service time, scaled up
by its queue and by the share of its answers that failed recently. A server in
another failure domain is selected only if it is expected to answer clearly
sooner than a local one.
"""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.routing import Router

#: Cost of a server in another failure domain: a factor on its expected
#: latency, and a time added for crossing the boundary. Besides the price of
#: its bytes, a request across the boundary is lost when a domain is cut off.
REMOTE_FACTOR = 2.5
REMOTE_EXTRA_MS = 5

#: Maximum number of local servers, and of remote ones, that are compared for
#: one request.
SAMPLE_SIZE = 3

#: Weight of a new answer in the moving average of failures.
FAILURE_WEIGHT = 0.15

#: Half-life of the failure share of a server without new answers.
FAILURE_HALF_LIFE_MS = 4000

#: Maximum age of a service time report that is still used.
SERVICE_TIME_MAX_AGE_MS = 5000

#: Lower bound of the success share by which latencies are divided.
MIN_SUCCESS_SHARE = 0.05

#: Queueing delay by load, as a share of the server's limit: it diverges at
#: the saturation load, and from the linear load on it grows linearly instead,
#: by this slope.
SATURATION_LOAD = 1.15
LINEAR_LOAD = 1.1
LINEAR_SLOPE = 60

#: Factor on the expected latency of a server whose node is suspected.
SUSPECT_FACTOR = 1000

_PERMILLE = 1000


def _is_never_suspect(_address: str) -> bool:
    return False


@dataclasses.dataclass(slots=True)
class _ServerStats:
    """Service time and share of failures of one server, from its answers."""

    service_ms: float = 0
    reported_ms: float = float('-inf')
    failure_share: float = 0
    failure_share_ms: float = 0


class LatencyRouter(Router):
    """Router that selects servers by the expected time to a good answer."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        rng: random.Random,
        is_suspect: Callable[[str], bool] = _is_never_suspect,
    ) -> None:
        """Route among ``members``, as seen from the local node.

        A server is a last resort while ``is_suspect`` holds for its address.
        """
        super().__init__(clock, members, rng)
        self._is_suspect = is_suspect
        self._stats_by_node: dict[str, _ServerStats] = {}

    def pick(self, service: str, tried: Collection[str]) -> Member | None:
        """Return an untried server of a service, ``None`` if none is left."""
        candidates = self.members.routable(service)
        if tried:
            candidates = [each for each in candidates if each.node not in tried]
        if not candidates:
            return None
        domain = self.members.local.failure_domain
        local = [each for each in candidates if each.failure_domain == domain]
        remote = [each for each in candidates if each.failure_domain != domain]
        sample = (*self._sample(local), *self._sample(remote))
        default_ms = self._mean_service_ms(sample)
        return min(sample, key=lambda each: self._cost_ms(each, default_ms))

    def record_answer(
        self, node: str, service_ms: float, is_success: bool
    ) -> None:
        """Record an answer: the server's mean service time and its success."""
        stats = self._stats(node)
        now_ms = self._clock.now_ms()
        if service_ms:
            stats.service_ms = service_ms
            stats.reported_ms = now_ms
        failure_share = self._failure_share(stats, now_ms)
        failure_share += FAILURE_WEIGHT * ((not is_success) - failure_share)
        stats.failure_share = failure_share
        stats.failure_share_ms = now_ms

    def forget(self, node: str) -> None:
        """Remove the state of a node that has left."""
        super().forget(node)
        self._stats_by_node.pop(node, None)

    def expected_ms(self, member: Member, default_ms: float) -> float:
        """Return the expected time to a good answer.

        ``default_ms`` replaces the service time of a server without a recent
        report.
        """
        now_ms = self._clock.now_ms()
        stats = self._stats(member.node)
        is_fresh = now_ms - stats.reported_ms < SERVICE_TIME_MAX_AGE_MS
        service_ms = stats.service_ms if is_fresh else default_ms
        success_share = max(
            1 - self._failure_share(stats, now_ms), MIN_SUCCESS_SHARE
        )
        load = self.load_permille(member) / _PERMILLE
        return service_ms * _queueing_factor(load) / success_share

    def _sample(self, servers: list[Member]) -> list[Member]:
        if len(servers) <= SAMPLE_SIZE:
            return servers
        return self._rng.sample(servers, SAMPLE_SIZE)

    def _cost_ms(self, member: Member, default_ms: float) -> float:
        cost_ms = self.expected_ms(member, default_ms)
        if self._is_suspect(member.address):
            cost_ms *= SUSPECT_FACTOR
        if member.failure_domain == self.members.local.failure_domain:
            return cost_ms
        return cost_ms * REMOTE_FACTOR + REMOTE_EXTRA_MS

    def _mean_service_ms(self, members: Sequence[Member]) -> float:
        """Return the mean of all reported service times, 1 without any."""
        known = [
            stats.service_ms
            for stats in map(self._stats, (each.node for each in members))
            if stats.service_ms
        ]
        return sum(known) / len(known) if known else 1

    def _failure_share(self, stats: _ServerStats, now_ms: float) -> float:
        age_ms = now_ms - stats.failure_share_ms
        return stats.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def _stats(self, node: str) -> _ServerStats:
        stats = self._stats_by_node.get(node)
        if stats is None:
            stats = _ServerStats()
            self._stats_by_node[node] = stats
        return stats


def _queueing_factor(load: float) -> float:
    """Return how much queueing stretches the service time at a load."""
    capped_load = min(load, LINEAR_LOAD)
    factor = 1 + capped_load**2 / (SATURATION_LOAD - capped_load)
    return factor + (load - capped_load) * LINEAR_SLOPE
