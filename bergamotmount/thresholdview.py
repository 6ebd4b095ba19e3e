"""Thresholds of services, as this node knows them.

Load pattern: the servers of a service differ in speed, so calls are spread
unevenly, and what one of them refuses comes to another one as a repeat. The
threshold of a single server then says little; the reports of all of them,
added up, tell what the service can take. Nodes that call a service often pass
on what they found, so a node that hardly calls it refuses just the same.
"""

import dataclasses

from bergamotmount.clock import Clock
from bergamotmount.rank import OPEN_RANK
from bergamotmount.reports import DemandReport, ThresholdReport, rank_for_all

#: Age up to which a threshold holds as it is, and over which it then fades.
HOLD_MS = 500
FADE_MS = 2000

#: Age at which the report of a server no longer counts.
REPORT_LIFE_MS = HOLD_MS + FADE_MS

#: Time for which a threshold is used again before it is worked out anew.
REUSE_MS = 20


@dataclasses.dataclass(slots=True)
class _Heard:
    """Rank that was worked out or told, and when it was."""

    rank: float
    set_ms: float

    def faded(self, now_ms: float) -> float:
        stale_ms = now_ms - self.set_ms - HOLD_MS
        if stale_ms <= 0:
            return self.rank
        progress = min(stale_ms / FADE_MS, 1)
        return self.rank + (OPEN_RANK - self.rank) * progress


@dataclasses.dataclass(slots=True)
class _Reported:
    """What one server reported, and when."""

    demand: DemandReport
    heard_ms: float


class _Service:
    """All that is known of one service."""

    def __init__(self) -> None:
        self.reported_by_node: dict[str, _Reported] = {}
        self.told: _Heard | None = None
        self.newest: _Heard | None = None
        self.made_ms = float('-inf')

    def refresh(self, now_ms: float) -> _Heard | None:
        if now_ms - self.made_ms >= REUSE_MS:
            self.made_ms = now_ms
            self.newest = self._newest(now_ms)
        return self.newest

    def _newest(self, now_ms: float) -> _Heard | None:
        oldest_ms = now_ms - REPORT_LIFE_MS
        fresh = [
            reported
            for reported in self.reported_by_node.values()
            if reported.heard_ms > oldest_ms
        ]
        if not fresh:
            return self.told
        set_ms = sum(reported.heard_ms for reported in fresh) / len(fresh)
        if self.told is not None and self.told.set_ms > set_ms:
            return self.told
        rank = rank_for_all(reported.demand for reported in fresh)
        return _Heard(rank, set_ms)


class ThresholdView:
    """Thresholds of other services as this node knows them."""

    def __init__(self, clock: Clock) -> None:
        """Know nothing: every service counts as open."""
        self._clock = clock
        self._service_by_name: dict[str, _Service] = {}

    def hear_server(
        self, service: str, node: str, demand: DemandReport
    ) -> None:
        """Take over what a backend server's own node reports."""
        now_ms = self._clock.now_ms()
        reported_by_node = self._service(service).reported_by_node
        reported_by_node[node] = _Reported(demand, now_ms)

    def hear_told(self, service: str, report: ThresholdReport) -> None:
        """Take over a threshold that was passed on, if it is newer."""
        set_ms = self._clock.now_ms() - report.age_ms
        known = self._service(service)
        if known.told is None or known.told.set_ms < set_ms:
            known.told = _Heard(report.rank, set_ms)

    def forget(self, node: str) -> None:
        """Drop the reports of a node whose server takes nothing more."""
        for service in self._service_by_name.values():
            service.reported_by_node.pop(node, None)

    def current(self, service: str) -> float:
        """Return the rank up to which a service is open."""
        known = self._service_by_name.get(service)
        if known is None:
            return OPEN_RANK
        now_ms = self._clock.now_ms()
        newest = known.refresh(now_ms)
        return OPEN_RANK if newest is None else newest.faded(now_ms)

    def reports(self) -> dict[str, ThresholdReport]:
        """Return what to pass on: all that isn't too old."""
        now_ms = self._clock.now_ms()
        reports = {}
        for name, service in self._service_by_name.items():
            newest = service.refresh(now_ms)
            if newest is None or now_ms - newest.set_ms >= REPORT_LIFE_MS:
                continue
            age_ms = int(now_ms - newest.set_ms)
            reports[name] = ThresholdReport(newest.rank, age_ms)
        return reports

    def closed(self) -> dict[str, ThresholdReport]:
        """Return what to pass on of services that refuse anything."""
        return {
            service: report
            for service, report in self.reports().items()
            if report.rank < OPEN_RANK
        }

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = _Service()
            self._service_by_name[name] = service
        return service
