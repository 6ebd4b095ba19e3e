"""Ledger: what callers and servers saw of each request, and its check.

A version of the policy is known by the service of each of its routes. A request
must be handled as one of the versions allows that may be in force: from the
newest that was acknowledged long enough before it was sent, up to the newest
that was published by its end. That is checked at nodes that nothing has harmed
lately.
"""

import collections
import dataclasses
import enum

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import NOT_RUN_STATUSES

#: Time without faults before which a lost answer or a late request counts.
CALM_MS = 3000

#: Time after its acknowledged departure in which a server may get requests.
DRAIN_MS = 2000

#: Time after which a published version is in force.
APPLY_MS = 2000

_NOT_FOUND = 404

#: Stands for the service of a route that a version doesn't have.
NO_SERVICE = ''

_SUCCESSES = range(200, 300)


class Promise(enum.StrEnum):
    """A promise that a run can break."""

    AT_MOST_ONCE = 'at_most_once'
    TRUE_REFUSAL = 'true_refusal'
    OWN_ANSWER = 'own_answer'
    DEPARTURE = 'departure'
    PLANNED_STOP = 'planned_stop'
    POLICY_IN_FORCE = 'policy_in_force'
    PROCESS_RUNS = 'process_runs'
    NO_OWN_ERROR = 'no_own_error'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A broken promise, and the request or node that shows it."""

    promise: Promise
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A server began to work on a request."""

    instance: str
    at_ms: float
    service: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A version of the policy: the service of each route that it has."""

    published_ms: float
    service_by_route: dict[str, str]


@dataclasses.dataclass(slots=True)
class Sent:
    """A request as its caller sees it; ``status`` 0 means no answer."""

    node: str
    is_idempotent: bool
    sent_ms: float
    route: str = ''
    ended_ms: float = 0
    status: int = 0
    is_own: bool = True


class Ledger:
    """Records events of one run and returns the promises broken by them."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.sent_by_id: dict[str, Sent] = {}
        self.runs_by_id: dict[str, list[Run]] = collections.defaultdict(list)
        self._departed_ms: dict[str, float] = {}
        self._stops: list[tuple[str, float]] = []
        self._faults_ms: list[float] = []
        self._harms_ms_by_node: dict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self.changes: list[Change] = []

    def record_sent(
        self, request: str, node: str, is_idempotent: bool, route: str = ''
    ) -> None:
        """Record that a caller sends a request for a route to a node."""
        now_ms = self.clock.now_ms()
        self.sent_by_id[request] = Sent(node, is_idempotent, now_ms, route)

    def record_change(self, service_by_route: dict[str, str]) -> None:
        """Record that the store has acknowledged a version of the policy."""
        self.changes.append(Change(self.clock.now_ms(), service_by_route))

    def record_harm(self, node: str) -> None:
        """Record that something keeps a node from applying changes in time."""
        self._harms_ms_by_node[node].append(self.clock.now_ms())

    def record_end(self, request: str, status: int, is_own: bool) -> None:
        """Record the status of the answer, 0 if the connection ended."""
        sent = self.sent_by_id[request]
        sent.ended_ms = self.clock.now_ms()
        sent.status = status
        sent.is_own = is_own

    def record_unanswered(self, requests: list[str]) -> None:
        """Record that those of the requests that have no answer get none."""
        for request in requests:
            if not self.sent_by_id[request].ended_ms:
                self.record_end(request, 0, is_own=True)

    def record_run(
        self, request: str, instance: str, service: str = ''
    ) -> None:
        """Record that a server of a service begins to work on a request."""
        run = Run(instance, self.clock.now_ms(), service)
        self.runs_by_id[request].append(run)

    def record_departure(self, instance: str) -> None:
        """Record that a node acknowledged the departure of a server."""
        self._departed_ms[instance] = self.clock.now_ms()

    def record_stop(self, node: str) -> None:
        """Record that a node is told to stop."""
        self._stops.append((node, self.clock.now_ms()))

    def record_fault(self) -> None:
        """Record a fault that excuses lost answers around it."""
        self._faults_ms.append(self.clock.now_ms())

    def breaches(self) -> list[Breach]:
        """Return the promises that were broken."""
        found = []
        for request, sent in self.sent_by_id.items():
            found.extend(self._breaches_of(request, sent))
        return found

    def summary(self) -> dict[str, int]:
        """Return how many requests there were, and how they ended.

        Those for routes that only some versions have are counted as probes.
        """
        statuses: collections.Counter[str] = collections.Counter()
        for sent in self.sent_by_id.values():
            is_probe = self._is_in_some_versions_only(sent.route)
            statuses['probes' if is_probe else str(sent.status)] += 1
        probes = statuses.pop('probes', 0)
        runs = sum(map(len, self.runs_by_id.values()))
        requests = len(self.sent_by_id) - probes
        return {
            'requests': requests,
            'probes': probes,
            'changes': len(self.changes),
            'runs': runs,
            **statuses,
        }

    def _is_in_some_versions_only(self, route: str) -> bool:
        return any(
            route not in change.service_by_route for change in self.changes
        )

    def _breaches_of(self, request: str, sent: Sent) -> list[Breach]:
        runs = self.runs_by_id.get(request, [])
        found = []
        if not sent.is_idempotent and len(runs) > 1:
            detail = ', '.join(run.instance for run in runs)
            found.append(Breach(Promise.AT_MOST_ONCE, request, detail))
        is_refused = sent.status in NOT_RUN_STATUSES
        if not sent.is_idempotent and is_refused and runs:
            detail = f'{sent.status}, run by {runs[0].instance}'
            found.append(Breach(Promise.TRUE_REFUSAL, request, detail))
        if sent.status in _SUCCESSES and not (sent.is_own and runs):
            found.append(Breach(Promise.OWN_ANSWER, request, str(sent.status)))
        for run in runs:
            if self._is_after_departure(run):
                found.append(Breach(Promise.DEPARTURE, request, run.instance))
        if runs and not sent.status and self._is_cut_by_stop(sent):
            found.append(Breach(Promise.PLANNED_STOP, request, sent.node))
        if self.changes and sent.route:
            found.extend(self._policy_breaches(request, sent, runs))
        return found

    def _policy_breaches(
        self, request: str, sent: Sent, runs: list[Run]
    ) -> list[Breach]:
        """Return how a request was handled as no version in force allows."""
        if not sent.ended_ms or self._is_harmed(sent):
            return []
        allowed = self._allowed_services(sent)
        handled = [run.service for run in runs]
        if sent.status == _NOT_FOUND and not runs:
            handled.append(NO_SERVICE)
        return [
            Breach(
                Promise.POLICY_IN_FORCE,
                request,
                f'{sent.node}: {sent.route} by {service or "nobody"}, allowed '
                f'{sorted(allowed)}',
            )
            for service in handled
            if service not in allowed
        ]

    def _allowed_services(self, sent: Sent) -> set[str]:
        """Return the services that versions in force name, if any does."""
        in_force_ms = sent.sent_ms - APPLY_MS
        in_force = sum(
            change.published_ms <= in_force_ms for change in self.changes
        )
        published = sum(
            change.published_ms <= sent.ended_ms for change in self.changes
        )
        return {
            change.service_by_route.get(sent.route, NO_SERVICE)
            for change in self.changes[max(in_force - 1, 0) : published]
        }

    def _is_harmed(self, sent: Sent) -> bool:
        return any(
            sent.sent_ms - CALM_MS <= at_ms <= sent.ended_ms
            for at_ms in self._harms_ms_by_node[sent.node]
        )

    def _is_after_departure(self, run: Run) -> bool:
        departed_ms = self._departed_ms.get(run.instance)
        if departed_ms is None or run.at_ms <= departed_ms + DRAIN_MS:
            return False
        return self._is_calm(departed_ms - CALM_MS, run.at_ms)

    def _is_cut_by_stop(self, sent: Sent) -> bool:
        """Return whether only the stop of its node explains a lost answer."""
        for node, stopped_ms in self._stops:
            is_near = sent.sent_ms - CALM_MS <= stopped_ms <= sent.ended_ms
            if node == sent.node and sent.ended_ms and is_near:
                return self._is_calm(sent.sent_ms - CALM_MS, sent.ended_ms)
        return False

    def _is_calm(self, from_ms: float, to_ms: float) -> bool:
        return not any(from_ms <= at_ms <= to_ms for at_ms in self._faults_ms)
