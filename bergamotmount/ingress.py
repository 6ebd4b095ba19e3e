"""Ingress: the only path to the backend server on this host.

It admits, queues, refuses and deduplicates requests. Because a single process
decides for a server, its guarantees need no consensus with other nodes::

    answer = await ingress.handle(call)
"""

import asyncio
import dataclasses

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.context import ActiveContexts, Context
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import EntryCheck
from bergamotmount.fingerprint import fingerprint
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.ports import (
    BackendServer,
    ServerLost,
    ServerReply,
    ServerShed,
    ServerUnreached,
)
from bergamotmount.reasons import RefusalReason, UnknownReason
from bergamotmount.threshold import ThresholdController
from bergamotmount.ticket import Ticket, TicketSigner
from bergamotmount.ticketstore import Granted, Joined, Rejected, TicketStore
from bergamotmount.tokens import RetryPool

_ROLE = 'ingress'


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that this ingress handles."""

    call: Call
    deadline_ms: float
    pool: RetryPool
    dispatched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRuntime:
    """Components that control access to one backend server."""

    server: BackendServer
    lifecycle: ServerLifecycle
    admission: Admission
    controller: ThresholdController
    tickets: TicketStore
    active_contexts: ActiveContexts


class Ingress:
    """Handles calls from egress nodes and runs them on the backend server."""

    def __init__(
        self,
        clock: Clock,
        node: str,
        runtime: ServerRuntime,
        signer: TicketSigner,
        entry_check: EntryCheck,
        counters: Counters,
    ) -> None:
        """Serve as node ``node``; ``signer`` verifies the tickets of calls."""
        self.runtime = runtime
        self._clock = clock
        self._node = node
        self._signer = signer
        self._entry_check = entry_check
        self._counters = counters

    async def handle(self, call: Call) -> Answer:
        """Return the answer to a call, with its unused retry tokens.

        Cancelling the task cancels the request, unless it has a ticket and
        was sent to the server. Its outcome is then still awaited and stored
        for other calls with the same ticket.
        """
        deadline_ms = self._clock.now_ms() + call.remaining_ms
        pending = _PendingRequest(call, deadline_ms, RetryPool(call.tokens))
        outcome = await self._outcome(pending)
        self._count(outcome)
        return Answer(
            attempt=call.attempt,
            outcome=outcome,
            tokens=pending.pool.close(),
            threshold=self.runtime.controller.threshold(),
            thresholds=self._entry_check.threshold_view.reports(),
            load_permille=self.runtime.admission.load_permille,
            demand=self.runtime.controller.demand_report(),
        )

    async def _outcome(self, pending: _PendingRequest) -> Outcome:
        if pending.call.ticket:
            return await self._run_ticketed(pending)
        if not pending.call.idempotent:
            return NotRun(RefusalReason.TICKET_MISSING)
        refusal = await self._admit(pending)
        if refusal is not None:
            return self._not_run(refusal)
        return await self._dispatch(pending)

    async def _run_ticketed(self, pending: _PendingRequest) -> Outcome:
        ticket = self._signer.verify(pending.call.ticket)
        if ticket is None:
            return NotRun(RefusalReason.TICKET_INVALID)
        if ticket.home != self._node:
            return Unknown(UnknownReason.HOME_UNREACHABLE)
        match self.runtime.tickets.claim(ticket, _fingerprint_of(pending.call)):
            case Granted():
                return await self._run_shielded(pending, ticket)
            case Joined(settled):
                return await self._join(settled, pending.deadline_ms)
            case Rejected(outcome):
                return outcome

    async def _run_shielded(
        self, pending: _PendingRequest, ticket: Ticket
    ) -> Outcome:
        task = asyncio.create_task(self._run_granted(pending, ticket))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not pending.dispatched:
                task.cancel()
            raise

    async def _run_granted(
        self, pending: _PendingRequest, ticket: Ticket
    ) -> Outcome:
        try:
            refusal = await self._admit(pending)
        except asyncio.CancelledError:
            self.runtime.tickets.void(ticket, RefusalReason.CANCELLED)
            raise
        if refusal is not None:
            return self._void(ticket, refusal)
        outcome = await self._dispatch(pending)
        match outcome:
            case NotRun(reason):
                return self._void(ticket, reason)
            case _:
                self.runtime.tickets.settle(ticket, outcome)
                return outcome

    def _void(self, ticket: Ticket, reason: RefusalReason) -> Outcome:
        match self.runtime.tickets.void(ticket, reason):
            case NotRun():
                return self._not_run(reason)
            case outcome:
                return outcome

    async def _join(
        self,
        settled: 'asyncio.Future[Outcome]',
        deadline_ms: float,
    ) -> Outcome:
        try:
            async with self._clock.timeout(deadline_ms - self._clock.now_ms()):
                return await asyncio.shield(settled)
        except TimeoutError:
            return Unknown(UnknownReason.ANSWER_LATE)

    async def _admit(self, pending: _PendingRequest) -> RefusalReason | None:
        refusal = self._refusal_by_state(pending)
        if refusal is not None:
            return refusal
        if self._is_over_threshold(pending.call):
            return RefusalReason.OVER_THRESHOLD
        admission = self.runtime.admission
        refusal = await admission.acquire(
            pending.call.rank,
            pending.deadline_ms,
            entry_threshold=pending.call.entry_threshold,
            operation=pending.call.operation,
        )
        if refusal is not None:
            return refusal
        refusal = self._refusal_by_state(pending)
        if refusal is not None:
            admission.release()
        return refusal

    def _refusal_by_state(
        self, pending: _PendingRequest
    ) -> RefusalReason | None:
        if pending.deadline_ms <= self._clock.now_ms():
            return RefusalReason.DEADLINE_PASSED
        if self.runtime.lifecycle.is_accepting:
            return None
        if self.runtime.lifecycle.state is ServerState.DRAINING:
            return RefusalReason.DRAINING
        return RefusalReason.NOT_SERVING

    def _is_over_threshold(self, call: Call) -> bool:
        if call.depth > 1 or not call.ticket:
            return False
        refusal = self._entry_check.check(
            call.service, call.operation, call.rank
        )
        return refusal is not None

    async def _dispatch(self, pending: _PendingRequest) -> Outcome:
        context = _context_of(pending)
        key = self.runtime.active_contexts.add(context)
        pending.dispatched = True
        self._counters.admitted(pending.call.service)
        started_ms = self._clock.now_ms()
        remaining_ms = pending.deadline_ms - started_ms
        try:
            reply = await self.runtime.server.run(
                pending.call, key, remaining_ms
            )
        except asyncio.CancelledError:
            context.cancel_nested_calls()
            raise
        finally:
            self.runtime.active_contexts.remove(key)
            self.runtime.admission.release()
        service_ms = self._clock.now_ms() - started_ms
        return self._evaluate_reply(pending.call, reply, service_ms)

    def _evaluate_reply(
        self, call: Call, reply: ServerReply, service_ms: float
    ) -> Outcome:
        match reply:
            case Answered():
                self.runtime.admission.service_time.add_sample(
                    service_ms, call.operation
                )
                self.runtime.admission.limit.record_success()
                return reply
            case ServerUnreached():
                return self._not_run(RefusalReason.NOT_SERVING)
            case ServerShed():
                self.runtime.admission.limit.record_overload()
                return self._not_run(RefusalReason.SERVER_SHED)
            case ServerLost(too_large=True):
                return Unknown(UnknownReason.ANSWER_TOO_LARGE)
            case ServerLost():
                return Unknown(UnknownReason.ANSWER_LOST)

    def _not_run(self, reason: RefusalReason) -> NotRun:
        return NotRun(reason, self.runtime.admission.retry_after_ms())

    def _count(self, outcome: Outcome) -> None:
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)


def _fingerprint_of(call: Call) -> int:
    subject = f'{call.service}/{call.operation}'
    return fingerprint(call.method, subject, call.body)


def _context_of(pending: _PendingRequest) -> Context:
    call = pending.call
    return Context(
        root=call.root,
        rank=call.rank,
        deadline_ms=pending.deadline_ms,
        pool=pending.pool,
        service=call.service,
        operation=call.operation,
        idempotent=call.idempotent,
        depth=call.depth,
        entry_threshold=call.entry_threshold,
    )
