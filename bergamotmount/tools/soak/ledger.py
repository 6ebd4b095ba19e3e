"""Ledger: what callers and servers saw of each request, and its check."""

import collections
import dataclasses
import enum

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import NOT_RUN_STATUSES

#: Time without faults before which a lost answer or a late request counts.
CALM_MS = 3000

#: Time after its acknowledged departure in which a server may get requests.
DRAIN_MS = 2000

_SUCCESSES = range(200, 300)


class Promise(enum.StrEnum):
    """A promise that a run can break."""

    AT_MOST_ONCE = 'at_most_once'
    TRUE_REFUSAL = 'true_refusal'
    OWN_ANSWER = 'own_answer'
    DEPARTURE = 'departure'
    PLANNED_STOP = 'planned_stop'
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


@dataclasses.dataclass(slots=True)
class Sent:
    """A request as its caller sees it; ``status`` 0 means no answer."""

    node: str
    is_idempotent: bool
    sent_ms: float
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

    def record_sent(self, request: str, node: str, is_idempotent: bool) -> None:
        """Record that a caller sends a request to a node."""
        now_ms = self.clock.now_ms()
        self.sent_by_id[request] = Sent(node, is_idempotent, now_ms)

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

    def record_run(self, request: str, instance: str) -> None:
        """Record that a server begins to work on a request."""
        run = Run(instance, self.clock.now_ms())
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
        """Return how many requests there were, and how they ended."""
        statuses = collections.Counter(
            str(sent.status) for sent in self.sent_by_id.values()
        )
        runs = sum(map(len, self.runs_by_id.values()))
        return {'requests': len(self.sent_by_id), 'runs': runs, **statuses}

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
        return found

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
