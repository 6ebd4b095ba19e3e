"""Gateway: the only way into the backend server on this host.

One process decides for one server: whether it is there, which process it is,
how much it has in hand, and that a request goes to it at most once. A request
counts as sent from the moment at which its bytes are handed to a connection;
what was refused before was not run, and never will be.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    CONNECTION_HEADERS,
    HttpResponse,
    flat_without,
    header_of,
    pack_request,
)
from bergamotmount.forwarding.httpclient import (
    BrokenError,
    ConnectionPool,
    NotConnectedError,
    PoolFactory,
)
from bergamotmount.forwarding.runs import Run, RunsInHand
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import RefusalReason, UnknownReason
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView

#: Least time that a request must have left when it goes to the server.
LEAST_REMAINING_MS = 5

_ROLE = 'ingress'
_MISDIRECTED = 421
_SUCCESSES = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerProcess:
    """One start of the backend server: its identity and where it listens."""

    instance: str
    service: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayParts:
    """Everything that guards the backend server."""

    lifecycle: ServerLifecycle
    admission: Admission
    controller: ThresholdController
    runs: RunsInHand
    view: ThresholdView
    needs_of: Callable[[str], list[str]]


class Gateway:
    """Takes calls from nodes and runs them on the backend server."""

    def __init__(
        self,
        clock: Clock,
        node: str,
        parts: GatewayParts,
        names: HeaderNames,
        counters: Counters,
        pool_factory: PoolFactory = ConnectionPool,
    ) -> None:
        """Guard a server, not known yet, as node ``node``."""
        self._node = node
        self._pool_factory = pool_factory
        self.parts = parts
        self.process: ServerProcess | None = None
        self._clock = clock
        self._names = names
        self._counters = counters
        self._pool: ConnectionPool | None = None
        self._detached: set[asyncio.Task] = set()
        self._decisions = DecisionLog(clock, 'gateway')

    @property
    def connections_opened(self) -> int:
        """Number of connections opened to the server."""
        return 0 if self._pool is None else self._pool.opened

    def use(self, process: ServerProcess) -> None:
        """Send to this process of the server from now on."""
        if process == self.process:
            return
        if self._pool is not None:
            self._pool.close_idle()
        self.process = process
        self._pool = self._pool_factory(self._clock, process.address)

    def close_idle(self) -> None:
        """Close connections that have been idle for long."""
        if self._pool is not None:
            self._pool.close_idle()

    async def handle(self, call: Call) -> Answer:
        """Return the answer to a call; cancelling it stops the server.

        A request that must not run twice is not stopped once it was sent.
        """
        deadline_ms = self._clock.now_ms() + call.remaining_ms
        outcome = await self._outcome(call, deadline_ms)
        self._count(call, outcome)
        return Answer(
            attempt=call.attempt,
            outcome=outcome,
            thresholds=self.parts.view.restricted(),
            load_permille=self.parts.admission.load_permille,
            service_ms=round(self.parts.admission.service_time.current_ms()),
            demand=self.parts.controller.demand_report(),
            needs=self.parts.needs_of(call.operation),
        )

    async def _outcome(self, call: Call, deadline_ms: float) -> Outcome:
        refusal = self._refusal(call, deadline_ms)
        if refusal is None:
            refusal = await self.parts.admission.acquire(
                call.rank,
                deadline_ms,
                is_nested=call.depth > 0,
                is_retry=call.tries > 0,
                entry_threshold=call.entry_threshold,
            )
        if refusal is not None:
            return self._not_run(refusal)
        if call.idempotent:
            return await self._send_admitted(call, deadline_ms)
        sending = asyncio.create_task(self._send_admitted(call, deadline_ms))
        self._detached.add(sending)
        sending.add_done_callback(self._detached.discard)
        return await asyncio.shield(sending)

    async def _send_admitted(self, call: Call, deadline_ms: float) -> Outcome:
        admission = self.parts.admission
        run = Run(
            call.operation,
            call.rank,
            deadline_ms,
            call.root,
            call.entry_threshold,
        )
        started_ms = self._clock.now_ms()
        # A server that refuses with room to spare isn't overloaded but broken.
        was_full = admission.in_flight >= admission.limit.current()
        try:
            outcome = await self._send(call, run)
        finally:
            self.parts.runs.remove(run)
            admission.release()
        match outcome:
            case Answered():
                self.parts.runs.ended(run)
                admission.service_time.add_sample(
                    self._clock.now_ms() - started_ms
                )
                admission.limit.record_success()
            case NotRun(RefusalReason.SERVER_SHED) if was_full:
                admission.limit.record_overload()
        return outcome

    async def _send(self, call: Call, run: Run) -> Outcome:
        pool, process = self._pool, self.process
        try:
            connection = await pool.acquire(is_fresh=not call.idempotent)
        except NotConnectedError:
            return self._not_run(RefusalReason.NOT_SERVING)
        try:
            refusal = self._refusal(call, run.deadline_ms)
            if refusal is not None or process is not self.process:
                return self._not_run(refusal or RefusalReason.NOT_SERVING)
            self.parts.runs.add(run)
            self._counters.admitted(call.service)
            return await self._exchange(connection, call, run)
        finally:
            pool.release(connection)

    async def _exchange(self, connection, call: Call, run: Run) -> Outcome:
        packed = self._pack(call, run.deadline_ms)
        remaining_ms = run.deadline_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout(remaining_ms):
                response = await connection.exchange(
                    packed,
                    lambda found: self._belongs(found, call.root, connection),
                    call.method == 'HEAD',
                )
        except TimeoutError:
            return Unknown(UnknownReason.ANSWER_LATE)
        except BrokenError:
            return Unknown(UnknownReason.ANSWER_LOST)
        return self._judge(response)

    def _pack(self, call: Call, deadline_ms: float) -> bytes:
        remaining_ms = int(deadline_ms - self._clock.now_ms())
        return pack_request(
            call.method,
            call.target,
            [
                *call.headers,
                self._names.deadline,
                str(remaining_ms),
                self._names.target,
                self.process.instance,
            ],
            call.body,
        )

    def _belongs(self, found: HttpResponse, root: str, connection) -> bool:
        request_id = header_of(found.headers, self._names.request_id)
        if request_id is None:
            return connection.requests == 1
        return request_id == root

    def _judge(self, response: HttpResponse) -> Outcome:
        headers = response.headers
        if header_of(headers, self._names.not_run) is not None:
            return self._not_run(RefusalReason.SERVER_SHED)
        if response.status == _MISDIRECTED:
            self.parts.lifecycle.expire_lease()
            return self._not_run(RefusalReason.NOT_SERVING)
        if header_of(headers, 'Content-Encoding') is not None:
            return Unknown(UnknownReason.ANSWER_INCOMPLETE)
        signature = header_of(headers, self._names.signature)
        if response.status in _SUCCESSES and signature is None:
            return Unknown(UnknownReason.ANSWER_INCOMPLETE)
        flat = flat_without(headers, CONNECTION_HEADERS)
        return Answered(response.status, flat, response.body)

    def _refusal(self, call: Call, deadline_ms: float) -> RefusalReason | None:
        if deadline_ms - self._clock.now_ms() < LEAST_REMAINING_MS:
            return RefusalReason.DEADLINE_PASSED
        lifecycle = self.parts.lifecycle
        if lifecycle.state is ServerState.DRAINING:
            return RefusalReason.DRAINING
        process = self.process
        is_other = process is None or process.service != call.service
        if is_other or not lifecycle.is_accepting:
            return RefusalReason.NOT_SERVING
        return None

    def _not_run(self, reason: RefusalReason) -> NotRun:
        return NotRun(reason, self.parts.admission.retry_after_ms())

    def _count(self, call: Call, outcome: Outcome) -> None:
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
                self._write('refused', call, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)
                self._write('unknown', call, reason)

    def _write(self, kind: str, call: Call, reason: str) -> None:
        admission = self.parts.admission
        process = self.process
        self._decisions.write(
            kind,
            request=call.root,
            route=call.operation,
            reason=reason,
            rank=call.rank,
            instance='' if process is None else process.instance,
            state=self.parts.lifecycle.state,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit.current(),
            service_ms=admission.service_time.current_ms(),
        )
