"""Ingress: the only way into the backend server on this host.

It admits, queues, refuses and deduplicates. Because one process decides for
one server, each promise about that server needs no agreement with others::

    answer = await ingress.handle(call)
"""

import asyncio
import dataclasses

import xxhash

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.context import Context, InHand
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import EntryCheck
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
class _Work:
    """One request at this ingress."""

    call: Call
    deadline_ms: float
    pool: RetryPool
    dispatched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGate:
    """Everything that guards one backend server."""

    server: BackendServer
    lifecycle: ServerLifecycle
    admission: Admission
    controller: ThresholdController
    tickets: TicketStore
    in_hand: InHand


class Ingress:
    """Takes calls from egress nodes and runs them on the backend server."""

    def __init__(
        self,
        clock: Clock,
        node: str,
        gate: ServerGate,
        mint: TicketSigner,
        entry_check: EntryCheck,
        counters: Counters,
    ) -> None:
        """Serve as node ``node``; ``mint`` checks the tickets of calls."""
        self.gate = gate
        self._clock = clock
        self._node = node
        self._mint = mint
        self._entry_check = entry_check
        self._counters = counters

    async def handle(self, call: Call) -> Answer:
        """Return the answer to a call, with the tokens that are left.

        Cancelling the task cancels the request, but for one that isn't
        idempotent and has gone to the server: its outcome is still awaited
        and kept for whoever brings the same ticket.
        """
        deadline_ms = self._clock.now_ms() + call.remaining_ms
        work = _Work(call, deadline_ms, RetryPool(call.tokens))
        outcome = await self._outcome(work)
        self._count(outcome)
        return Answer(
            attempt=call.attempt,
            outcome=outcome,
            tokens=work.pool.close(),
            threshold=self.gate.controller.current(),
            thresholds=self._entry_check.view.reports(),
            load_permille=self.gate.admission.load_permille,
            demand=self.gate.controller.report(),
        )

    async def _outcome(self, work: _Work) -> Outcome:
        if work.call.ticket:
            return await self._run_ticketed(work)
        if not work.call.idempotent:
            return NotRun(RefusalReason.TICKET_MISSING)
        refusal = await self._admit(work)
        if refusal is not None:
            return self._not_run(refusal)
        return await self._dispatch(work)

    async def _run_ticketed(self, work: _Work) -> Outcome:
        ticket = self._mint.verify(work.call.ticket)
        if ticket is None:
            return NotRun(RefusalReason.TICKET_INVALID)
        if ticket.home != self._node:
            return Unknown(UnknownReason.HOME_UNREACHABLE)
        match self.gate.tickets.claim(ticket, fingerprint(work.call)):
            case Granted():
                return await self._run_shielded(work, ticket)
            case Joined(settled):
                return await self._join(settled, work.deadline_ms)
            case Rejected(outcome):
                return outcome

    async def _run_shielded(self, work: _Work, ticket: Ticket) -> Outcome:
        running = asyncio.create_task(self._run_granted(work, ticket))
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            if not work.dispatched:
                running.cancel()
            raise

    async def _run_granted(self, work: _Work, ticket: Ticket) -> Outcome:
        try:
            refusal = await self._admit(work)
        except asyncio.CancelledError:
            self.gate.tickets.void(ticket, RefusalReason.CANCELLED)
            raise
        if refusal is not None:
            return self._void(ticket, refusal)
        outcome = await self._dispatch(work)
        match outcome:
            case NotRun(reason):
                return self._void(ticket, reason)
            case _:
                self.gate.tickets.settle(ticket, outcome)
                return outcome

    def _void(self, ticket: Ticket, reason: RefusalReason) -> Outcome:
        match self.gate.tickets.void(ticket, reason):
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

    async def _admit(self, work: _Work) -> RefusalReason | None:
        refusal = self._refusal_by_state(work)
        if refusal is not None:
            return refusal
        if self._is_over_threshold(work.call):
            return RefusalReason.OVER_THRESHOLD
        admission = self.gate.admission
        refusal = await admission.enter(
            work.call.rank,
            work.deadline_ms,
            entry_threshold=work.call.entry_threshold,
        )
        if refusal is not None:
            return refusal
        refusal = self._refusal_by_state(work)
        if refusal is not None:
            admission.leave()
        return refusal

    def _refusal_by_state(self, work: _Work) -> RefusalReason | None:
        if work.deadline_ms <= self._clock.now_ms():
            return RefusalReason.DEADLINE_PASSED
        if self.gate.lifecycle.is_accepting:
            return None
        if self.gate.lifecycle.state is ServerState.DRAINING:
            return RefusalReason.DRAINING
        return RefusalReason.NOT_SERVING

    def _is_over_threshold(self, call: Call) -> bool:
        if call.depth > 1 or not call.ticket:
            return False
        refusal = self._entry_check.check(
            call.service, call.operation, call.rank
        )
        return refusal is not None

    async def _dispatch(self, work: _Work) -> Outcome:
        context = _context_of(work)
        key = self.gate.in_hand.add(context)
        work.dispatched = True
        self._counters.admitted(work.call.service)
        started_ms = self._clock.now_ms()
        remaining_ms = work.deadline_ms - started_ms
        try:
            reply = await self.gate.server.run(work.call, key, remaining_ms)
        except asyncio.CancelledError:
            context.cancel_children()
            raise
        finally:
            self.gate.in_hand.remove(key)
            self.gate.admission.leave()
        return self._judge(reply, self._clock.now_ms() - started_ms)

    def _judge(self, reply: ServerReply, service_ms: float) -> Outcome:
        match reply:
            case Answered():
                self.gate.admission.service_time.add(service_ms)
                self.gate.admission.limit.succeeded()
                return reply
            case ServerUnreached():
                return self._not_run(RefusalReason.NOT_SERVING)
            case ServerShed():
                self.gate.admission.limit.overloaded()
                return self._not_run(RefusalReason.SERVER_SHED)
            case ServerLost(too_large=True):
                return Unknown(UnknownReason.ANSWER_TOO_LARGE)
            case ServerLost():
                return Unknown(UnknownReason.ANSWER_LOST)

    def _not_run(self, reason: RefusalReason) -> NotRun:
        return NotRun(reason, self.gate.admission.retry_after_ms())

    def _count(self, outcome: Outcome) -> None:
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)


def fingerprint(call: Call) -> int:
    """Return a number that tells requests under one ticket apart."""
    digest = xxhash.xxh64(call.body)
    digest.update(f'{call.method} {call.service}/{call.operation}'.encode())
    return digest.intdigest()


def _context_of(work: _Work) -> Context:
    call = work.call
    return Context(
        root=call.root,
        rank=call.rank,
        deadline_ms=work.deadline_ms,
        pool=work.pool,
        service=call.service,
        operation=call.operation,
        idempotent=call.idempotent,
        depth=call.depth,
        entry_threshold=call.entry_threshold,
    )
