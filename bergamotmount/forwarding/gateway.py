"""Gateway: the only path to the backend server on this host.

A single process decides for the server: whether it is available, which of its
processes is current, how many requests are in flight, and that each request
is sent to it at most once. A request counts as sent as soon as its bytes are
written to a connection. A request refused before that was not run and never
will be.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.activerequests import (
    ActiveRequest,
    ActiveRequests,
)
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    HttpResponse,
    pack_request_head,
)
from bergamotmount.forwarding.httpclient import (
    ConnectionPool,
    NotConnectedError,
    PoolFactory,
)
from bergamotmount.forwarding.quarantine import Quarantine, fingerprint_of
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
    ServerConnection,
)
from bergamotmount.forwarding.serverresponse import ResponseClassifier
from bergamotmount.forwarding.serversignals import NO_SIGNALS, read_signals
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason
from bergamotmount.reports import PolicyEvidence
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView

#: Minimum time left until the deadline when a request is sent to the server.
MIN_REMAINING_MS = 5

_ROLE = 'ingress'
_SUCCESSES = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerProcess:
    """A process of the backend server: its instance id and its address.

    ``start_ms`` tells processes with the same instance id from each other.
    """

    instance: str
    service: str
    address: str
    start_ms: int = 0

    @property
    def key(self) -> str:
        """Identifies this process among those of all hosts."""
        return f'{self.instance}@{self.start_ms}'


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """Objects of the node that a gateway uses.

    ``depart`` is called with the instance of a server that says in a response
    that it is leaving.
    """

    lifecycle: ServerLifecycle
    admission: Admission
    threshold_controller: ThresholdController
    active_requests: ActiveRequests
    threshold_view: ThresholdView
    downstream_services_of: Callable[[str], list[str]]
    depart: Callable[[str], None]
    quarantine: Quarantine
    policy_evidence: Callable[[], PolicyEvidence | None]


class Gateway:
    """Accepts calls from nodes and sends them to the backend server."""

    def __init__(
        self,
        clock: Clock,
        deps: GatewayDependencies,
        header_names: HeaderNames,
        counters: Counters,
        pool_factory: PoolFactory = ConnectionPool,
    ) -> None:
        """Start without a server process."""
        self._pool_factory = pool_factory
        self._deps = deps
        self.process: ServerProcess | None = None
        self._clock = clock
        self._header_names = header_names
        self._counters = counters
        self._pool: ConnectionPool | None = None
        self._detached_tasks: set[asyncio.Task] = set()
        self._signals = NO_SIGNALS
        self._refusal_check: asyncio.Task[bool] | None = None
        self._classifier = ResponseClassifier(
            header_names, deps.admission.retry_after_ms
        )
        self.decisions = DecisionLog(clock, 'gateway')

    def attach_process(self, process: ServerProcess) -> None:
        """Send requests to this process of the server from now on."""
        if process == self.process:
            return
        if self._pool is not None:
            self._pool.close_idle()
        self.process = process
        self._signals = NO_SIGNALS
        self._deps.admission.limit.rate.clear()
        self._pool = self._pool_factory(self._clock, process.address)

    def close_idle(self) -> None:
        """Close connections whose idle time has expired."""
        if self._pool is not None:
            self._pool.close_idle()

    async def handle(self, call: Call) -> Answer:
        """Run a call and return the answer.

        Cancellation closes the connection of an idempotent request, so the
        server can stop working on it. A non-idempotent request that was sent
        goes on without its caller.
        """
        deadline_ms = self._clock.now_ms() + call.remaining_ms
        outcome = await self._run_call(call, deadline_ms)
        self._record_outcome(call, outcome)
        return Answer(
            attempt=call.attempt,
            outcome=outcome,
            thresholds=self._deps.threshold_view.restricted(),
            load_permille=self._deps.admission.load_permille,
            service_ms=round(self._deps.admission.service_time.current_ms()),
            demand=self._deps.threshold_controller.demand_report(),
            needs=self._deps.downstream_services_of(call.operation),
            crashes=self._deps.quarantine.reports_on(call),
            evidence=self._deps.policy_evidence(),
        )

    async def _run_call(self, call: Call, deadline_ms: float) -> Outcome:
        refusal = self._refusal_reason(call, deadline_ms)
        if refusal is None:
            refusal = await self._deps.admission.acquire(
                call.rank,
                deadline_ms,
                is_nested=call.depth > 0,
                is_retry=call.tries > 0,
                entry_threshold=call.entry_threshold,
                operation=call.operation,
            )
        if refusal is not None:
            return self._not_run(refusal)
        active = ActiveRequest(
            call.operation,
            call.rank,
            deadline_ms,
            call.root,
            call.entry_threshold,
            call.is_repeat,
        )
        if call.idempotent:
            return await self._send_admitted(call, active)
        sending = asyncio.create_task(self._send_admitted(call, active))
        self._detached_tasks.add(sending)
        sending.add_done_callback(self._detached_tasks.discard)
        try:
            return await asyncio.shield(sending)
        except asyncio.CancelledError:
            if not active.is_sent:
                sending.cancel()
            raise

    async def _send_admitted(
        self, call: Call, active: ActiveRequest
    ) -> Outcome:
        admission = self._deps.admission
        started_ms = self._clock.now_ms()
        # A server that sheds below its limit is faulty rather than overloaded.
        was_full = admission.in_flight >= admission.limit.current()
        try:
            outcome = await self._send(call, active)
        finally:
            self._deps.active_requests.remove(active)
            admission.release()
        match outcome:
            case Answered():
                self._deps.active_requests.record_completion(active)
                admission.service_time.add_sample(
                    self._clock.now_ms() - started_ms, call.operation
                )
                admission.limit.record_success()
            case NotRun(RefusalReason.SERVER_SHED) if was_full:
                admission.limit.record_overload()
        return outcome

    async def _send(self, call: Call, active: ActiveRequest) -> Outcome:
        pool, process = self._pool, self.process
        try:
            connection = await pool.acquire(call.root, not call.idempotent)
        except NotConnectedError:
            return self._not_run(RefusalReason.NOT_SERVING)
        try:
            refusal = self._refusal_to_send(call, active.deadline_ms, process)
            if refusal is not None:
                return refusal
            self._record_sent(call, active)
            return await self._exchange(connection, call, active)
        finally:
            pool.release(connection)

    def _record_sent(self, call: Call, active: ActiveRequest) -> None:
        active.is_sent = True
        self._deps.active_requests.add(active)
        self._counters.admitted(call.service)

    async def _exchange(
        self,
        connection: ServerConnection,
        call: Call,
        active: ActiveRequest,
    ) -> Outcome:
        process = self.process
        packed = self._pack(call, active.deadline_ms)
        sent_ms = self._clock.now_ms()
        remaining_ms = active.deadline_ms - sent_ms
        try:
            async with self._clock.timeout(remaining_ms):
                response = await connection.exchange(
                    packed,
                    lambda candidate: self._is_response_to(
                        candidate, call.root, connection
                    ),
                    call.method == 'HEAD',
                    call.body,
                )
        except TimeoutError:
            return Unknown(UnknownReason.ANSWER_LATE)
        except BrokenExchangeError as error:
            await self._record_broken(call, process, error)
            return Unknown(UnknownReason.ANSWER_LOST)
        if process is self.process:
            self._record_signals(response, sent_ms)
            if self._classifier.is_misdirected(response):
                self._deps.lifecycle.expire_lease()
        outcome = self._classifier.outcome_of(response, call.idempotent)
        if isinstance(outcome, NotRun):
            connection.record_refusal(call.root)
            self._log_server_refusal(call, response, connection, sent_ms)
        if _is_success(outcome):
            self._deps.quarantine.record_success(call)
        return outcome

    def _pack(self, call: Call, deadline_ms: float) -> bytes:
        remaining_ms = int(deadline_ms - self._clock.now_ms())
        return pack_request_head(
            call.method,
            call.target,
            [
                *call.headers,
                self._header_names.deadline,
                str(remaining_ms),
                self._header_names.target,
                self.process.instance,
            ],
            len(call.body),
        )

    def _is_response_to(
        self, response: HttpResponse, root: str, connection: ServerConnection
    ) -> bool:
        """Return whether a response answers this request; log strays."""
        if self._classifier.answers(response, root, connection):
            return True
        self._counters.dropped(DropReason.STRAY_RESPONSE)
        self.decisions.write(
            'stray',
            request=root,
            answers=self._classifier.request_id_of(response) or '',
            status=response.status,
            connection=connection.number,
        )
        return False

    async def _record_broken(
        self, call: Call, process: ServerProcess, error: BrokenExchangeError
    ) -> None:
        """Record that no response came, and whether the server crashed."""
        has_crashed = not error.response_started and await self._is_refused()
        self.decisions.write(
            'broken',
            request=call.root,
            instance=process.instance,
            fingerprint=f'{fingerprint_of(call):016x}',
            cause=error.reason,
            response_started=error.response_started,
            crashed=has_crashed,
        )
        if has_crashed:
            self._deps.quarantine.record_crash(call, process.key)

    async def _is_refused(self) -> bool:
        """Return whether nobody listens at the server's address.

        Requests that were in flight at the same crash share one check.
        """
        check = self._refusal_check
        if check is None or check.done():
            check = asyncio.create_task(self._pool.is_refused())
            self._refusal_check = check
        return await asyncio.shield(check)

    def _record_signals(self, response: HttpResponse, sent_ms: float) -> None:
        signals = read_signals(response.headers, self._header_names)
        if signals is NO_SIGNALS and not self._classifier.is_signed(response):
            # A bare refusal needn't state what still holds.
            return
        rate = self._deps.admission.limit.rate
        rate.record_response(signals.rate_limit, sent_ms)
        if signals == self._signals:
            return
        self._signals = signals
        self.decisions.write(
            'signals',
            instance=self.process.instance,
            rate_limit=signals.rate_limit,
            leaving=signals.is_leaving,
        )
        if signals.is_leaving:
            self._deps.depart(self.process.instance)

    def _refusal_reason(
        self, call: Call, deadline_ms: float
    ) -> RefusalReason | None:
        """Return why a call can't be sent now, ``None`` if it can."""
        if deadline_ms - self._clock.now_ms() < MIN_REMAINING_MS:
            return RefusalReason.DEADLINE_PASSED
        lifecycle = self._deps.lifecycle
        if lifecycle.state is ServerState.DRAINING:
            return RefusalReason.DRAINING
        process = self.process
        is_other_service = process is None or process.service != call.service
        if is_other_service or not lifecycle.is_accepting:
            return RefusalReason.NOT_SERVING
        return None

    def _refusal_to_send(
        self, call: Call, deadline_ms: float, process: ServerProcess
    ) -> NotRun | None:
        """Return why an admitted call isn't sent to this process."""
        reason = self._refusal_reason(call, deadline_ms)
        if reason is None and process is not self.process:
            reason = RefusalReason.NOT_SERVING
        if reason is not None:
            return self._not_run(reason)
        return self._deps.quarantine.refusal_of(call)

    def _not_run(self, reason: RefusalReason) -> NotRun:
        return NotRun(reason, self._deps.admission.retry_after_ms())

    def _record_outcome(self, call: Call, outcome: Outcome) -> None:
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
                self._log_decision('refused', call, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)
                self._log_decision('unknown', call, reason)

    def _log_server_refusal(
        self,
        call: Call,
        response: HttpResponse,
        connection: ServerConnection,
        sent_ms: float,
    ) -> None:
        """Log what a "not run" of the server rests on."""
        self.decisions.write(
            'server_refused',
            request=call.root,
            instance=self.process.instance,
            status=response.status,
            connection=connection.number,
            place=connection.requests,
            after_ms=self._clock.now_ms() - sent_ms,
            tries=call.tries,
        )

    def _log_decision(self, kind: str, call: Call, reason: str) -> None:
        admission = self._deps.admission
        process = self.process
        self.decisions.write(
            kind,
            request=call.root,
            route=call.operation,
            reason=reason,
            rank=call.rank,
            instance='' if process is None else process.instance,
            state=self._deps.lifecycle.state,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit.current(),
            service_ms=admission.service_time.expected_ms(call.operation),
        )


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status in _SUCCESSES
