"""Thresholds of other services, as this node knows them.

Load pattern: the servers of a service differ in speed, so calls are spread
unevenly, and a request that one of them refuses arrives at another one as a
retry. The threshold of a single server is then of little use; the capacity of
the service follows from the sum of the reports of all its servers. A node
relays the thresholds that it computes; a node that rarely calls the service
then applies the same threshold.
"""

import dataclasses

from bergamotmount.clock import Clock
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reports import (
    DemandReport,
    ThresholdReport,
    threshold_for_servers,
)

#: Age up to which a threshold applies unchanged, and the time over which it
#: then decays until it admits everything.
HOLD_MS = 500
DECAY_MS = 2000

#: Age at which the report of a server no longer counts.
MAX_REPORT_AGE_MS = HOLD_MS + DECAY_MS

#: Time for which a computed threshold is cached.
CACHE_MS = 20


@dataclasses.dataclass(slots=True)
class _TimedThreshold:
    """Threshold of a service, and when it was computed."""

    rank: float
    computed_ms: float

    def decayed(self, now_ms: float) -> float:
        decay_age_ms = now_ms - self.computed_ms - HOLD_MS
        if decay_age_ms <= 0:
            return self.rank
        progress = min(decay_age_ms / DECAY_MS, 1)
        return self.rank + (ADMIT_ALL_RANK - self.rank) * progress


@dataclasses.dataclass(slots=True)
class _ServerReport:
    """Report of one server, and when it was received."""

    demand: DemandReport
    received_ms: float


class _ServiceThresholds:
    """Reports and thresholds of one service."""

    def __init__(self) -> None:
        self.report_by_node: dict[str, _ServerReport] = {}
        self.relayed: _TimedThreshold | None = None
        self.newest: _TimedThreshold | None = None
        self.refreshed_ms = float('-inf')

    def refresh(self, now_ms: float) -> _TimedThreshold | None:
        if now_ms - self.refreshed_ms >= CACHE_MS:
            self.refreshed_ms = now_ms
            self.newest = self._newest(now_ms)
        return self.newest

    def _newest(self, now_ms: float) -> _TimedThreshold | None:
        oldest_ms = now_ms - MAX_REPORT_AGE_MS
        fresh = [
            report
            for report in self.report_by_node.values()
            if report.received_ms > oldest_ms
        ]
        if not fresh:
            return self.relayed
        computed_ms = sum(report.received_ms for report in fresh) / len(fresh)
        if self.relayed is not None and self.relayed.computed_ms > computed_ms:
            return self.relayed
        rank = threshold_for_servers(report.demand for report in fresh)
        return _TimedThreshold(rank, computed_ms)


class ThresholdView:
    """Collects load reports and returns the threshold of each service."""

    def __init__(self, clock: Clock) -> None:
        """Start without reports; every service admits everything."""
        self._clock = clock
        self._service_by_name: dict[str, _ServiceThresholds] = {}

    def record_report(
        self, service: str, node: str, demand: DemandReport
    ) -> None:
        """Record the report of a backend server's node."""
        now_ms = self._clock.now_ms()
        report_by_node = self._service(service).report_by_node
        report_by_node[node] = _ServerReport(demand, now_ms)

    def record_relayed(self, service: str, report: ThresholdReport) -> None:
        """Record a threshold relayed by another node, if it is newer."""
        computed_ms = self._clock.now_ms() - report.age_ms
        state = self._service(service)
        if state.relayed is None or state.relayed.computed_ms < computed_ms:
            state.relayed = _TimedThreshold(report.rank, computed_ms)

    def forget(self, node: str) -> None:
        """Discard the reports of a node whose server no longer serves."""
        for service in self._service_by_name.values():
            service.report_by_node.pop(node, None)

    def threshold_of(self, service: str) -> float:
        """Return the highest rank that a service admits."""
        state = self._service_by_name.get(service)
        if state is None:
            return ADMIT_ALL_RANK
        now_ms = self._clock.now_ms()
        newest = state.refresh(now_ms)
        return ADMIT_ALL_RANK if newest is None else newest.decayed(now_ms)

    def reports(self) -> dict[str, ThresholdReport]:
        """Return the thresholds to relay: all that haven't expired."""
        now_ms = self._clock.now_ms()
        reports = {}
        for name, service in self._service_by_name.items():
            newest = service.refresh(now_ms)
            if (
                newest is None
                or now_ms - newest.computed_ms >= MAX_REPORT_AGE_MS
            ):
                continue
            age_ms = int(now_ms - newest.computed_ms)
            reports[name] = ThresholdReport(newest.rank, age_ms)
        return reports

    def restricted(self) -> dict[str, ThresholdReport]:
        """Return the thresholds to relay of services that refuse requests."""
        return {
            service: report
            for service, report in self.reports().items()
            if report.rank < ADMIT_ALL_RANK
        }

    def _service(self, name: str) -> _ServiceThresholds:
        service = self._service_by_name.get(name)
        if service is None:
            service = _ServiceThresholds()
            self._service_by_name[name] = service
        return service
