"""Attempts at one call: choice of server, evaluation of replies, retries.

The outcome is correct whatever messages are lost: it is "not run" only if no
attempt can have run.
"""

import dataclasses
import itertools
import random
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.context import ActiveContexts, Context
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import ENTRY_RETRY_AFTER_MS, EntryCheck
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.policy import Policy
from bergamotmount.ports import Lost, NotSent, PeerTransport, Reply
from bergamotmount.reasons import (
    REFUSED_BY_LOAD,
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)
from bergamotmount.request import Request
from bergamotmount.retry import RetryRatio, backoff_ms
from bergamotmount.routing import Router
from bergamotmount.thresholdview import ThresholdView
from bergamotmount.ticketissuer import TicketIssuer


@dataclasses.dataclass(frozen=True, slots=True)
class EgressDependencies:
    """Objects that an egress uses.

    ``policy`` returns the active policy, ``threshold_view`` collects the
    thresholds that answers carry, ``active_contexts`` holds the parents of
    nested calls.
    """

    members: Members
    router: Router
    transport: PeerTransport
    issuer: TicketIssuer
    entry_check: EntryCheck
    threshold_view: ThresholdView
    active_contexts: ActiveContexts
    policy: Callable[[], Policy]


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    """Request for a retry; ``outcome`` applies if none is allowed."""

    reason: RetryReason
    outcome: Outcome
    same_home: bool = False


@dataclasses.dataclass(slots=True)
class _Attempts:
    """State of the attempts at one call."""

    request: Request
    context: Context
    server: Member | None = None
    ticket: str = ''
    tries: int = 0
    may_have_run: bool = False
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def has_callers_ticket(self) -> bool:
        return bool(self.request.ticket)


class AttemptRunner:
    """Runs the attempts at the calls of one egress."""

    def __init__(
        self,
        clock: Clock,
        deps: EgressDependencies,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Start without calls; ``rng`` adds jitter to the backoff."""
        self._clock = clock
        self._deps = deps
        self._counters = counters
        self._rng = rng
        self._attempt_ids = itertools.count(1)
        self._ratio_by_service: dict[str, RetryRatio] = {}

    async def run(self, request: Request, context: Context) -> Outcome:
        """Make attempts at a call until one is final or none is allowed."""
        attempts = _Attempts(request, context)
        self._ratio(attempts).record_first_attempt(
            self._deps.policy().retries.ratio
        )
        while True:
            evaluated = await self._attempt(attempts)
            if not isinstance(evaluated, _Retry):
                return self._finish(attempts, evaluated)
            if not await self._may_retry(attempts, evaluated):
                return self._finish(attempts, evaluated.outcome)

    async def _attempt(self, attempts: _Attempts) -> Outcome | _Retry:
        failure = self._choose_server(attempts)
        if failure is not None:
            return failure
        attempts.tries += 1
        server = attempts.server
        delegated = attempts.context.pool.delegate()
        call = self._make_call(attempts, delegated)
        self._deps.router.begin_call(server.node)
        try:
            reply = await self._deps.transport.call(server, call)
        finally:
            self._deps.router.end_call(server.node)
        return self._evaluate_reply(attempts, reply, delegated)

    def _choose_server(self, attempts: _Attempts) -> Outcome | None:
        if attempts.has_callers_ticket:
            return self._choose_home(attempts)
        if attempts.ticket:
            return None
        service = attempts.request.service
        attempts.server = self._deps.router.pick(service, attempts.tried)
        if attempts.server is None:
            return NotRun(RefusalReason.NO_SERVER, ENTRY_RETRY_AFTER_MS)
        if not attempts.context.idempotent:
            attempts.ticket = self._deps.issuer.issue_for_server(
                attempts.server
            )
        return None

    def _choose_home(self, attempts: _Attempts) -> Outcome | None:
        ticket = self._deps.issuer.verify(attempts.request.ticket)
        if ticket is None or ticket.service != attempts.request.service:
            new_ticket = self._deps.issuer.issue_for_service(
                attempts.request.service
            )
            return NotRun(RefusalReason.TICKET_INVALID, ticket=new_ticket)
        home = self._deps.members.member_by_node.get(ticket.home)
        if home is None:
            return Unknown(UnknownReason.HOME_UNREACHABLE)
        if home.incarnation > ticket.incarnation:
            return Unknown(UnknownReason.HOME_RESTARTED)
        attempts.server = home
        attempts.ticket = attempts.request.ticket
        return None

    def _make_call(self, attempts: _Attempts, delegated: int) -> Call:
        request, context = attempts.request, attempts.context
        return Call(
            attempt=next(self._attempt_ids),
            root=context.root,
            rank=context.rank,
            remaining_ms=int(context.deadline_ms - self._clock.now_ms()),
            tokens=delegated,
            service=request.service,
            operation=request.operation,
            method=request.method,
            headers=request.headers,
            body=request.body,
            ticket=attempts.ticket,
            idempotent=context.idempotent,
            depth=context.depth,
            entry_threshold=context.entry_threshold,
        )

    def _evaluate_reply(
        self,
        attempts: _Attempts,
        reply: Reply,
        delegated: int,
    ) -> Outcome | _Retry:
        node = attempts.server.node
        match reply:
            case Answer():
                attempts.context.pool.return_unused(reply.tokens, delegated)
                self._record_reports(attempts.server, reply)
                return self._evaluate_outcome(attempts, reply.outcome)
            case NotSent():
                attempts.context.pool.return_unused(delegated, delegated)
                self._deps.router.record_failure(node)
                return self._evaluate_not_sent(attempts)
            case Lost(by_deadline=True):
                attempts.may_have_run = True
                return Unknown(UnknownReason.ANSWER_LATE)
            case Lost():
                attempts.may_have_run = True
                self._deps.router.record_failure(node)
                outcome = Unknown(UnknownReason.ANSWER_LOST)
                return self._retry_elsewhere(
                    attempts,
                    _Retry(RetryReason.ANSWER_LOST, outcome, same_home=True),
                )

    def _evaluate_outcome(
        self,
        attempts: _Attempts,
        outcome: Outcome,
    ) -> Outcome | _Retry:
        match outcome:
            case Answered():
                return outcome
            case NotRun():
                return self._evaluate_refusal(attempts, outcome)
            case Unknown(UnknownReason.HOME_RESTARTED) if (
                not attempts.has_callers_ticket and not attempts.may_have_run
            ):
                # Only the previous incarnation of the home could run the
                # ticket, and it never received it.
                return self._evaluate_not_sent(attempts)
            case Unknown():
                attempts.may_have_run = True
                if not attempts.context.idempotent:
                    self._counters.not_retried(NoRetryReason.NOT_IDEMPOTENT)
                    return outcome
                retry = _Retry(RetryReason.ANSWER_LOST, outcome)
                return self._retry_elsewhere(attempts, retry)

    def _evaluate_refusal(
        self,
        attempts: _Attempts,
        outcome: NotRun,
    ) -> Outcome | _Retry:
        if attempts.ticket:
            # The home voided the ticket before it answered, so no earlier
            # attempt at this call has run either.
            attempts.may_have_run = False
        if outcome.reason not in REFUSED_BY_LOAD:
            self._counters.not_retried(NoRetryReason.NOT_REFUSED_BY_LOAD)
            return outcome
        if attempts.has_callers_ticket:
            return outcome
        retry = _Retry(RetryReason.REFUSED, outcome)
        return self._retry_elsewhere(attempts, retry)

    def _evaluate_not_sent(self, attempts: _Attempts) -> _Retry:
        outcome: Outcome = NotRun(
            RefusalReason.UNREACHABLE, ENTRY_RETRY_AFTER_MS
        )
        must_use_home = attempts.has_callers_ticket or attempts.may_have_run
        if must_use_home:
            # An earlier attempt may be running at the home.
            outcome = Unknown(UnknownReason.HOME_UNREACHABLE)
        retry = _Retry(
            RetryReason.UNREACHABLE,
            outcome,
            same_home=must_use_home and bool(attempts.ticket),
        )
        return self._retry_elsewhere(attempts, retry)

    def _retry_elsewhere(self, attempts: _Attempts, retry: _Retry) -> _Retry:
        if retry.same_home and attempts.ticket:
            return retry
        attempts.ticket = ''
        if not retry.same_home:
            # If only the connection was lost, the same server can answer over
            # a new one; the router avoids it for a short time anyway.
            attempts.tried.add(attempts.server.node)
        return retry

    async def _may_retry(self, attempts: _Attempts, retry: _Retry) -> bool:
        policy = self._deps.policy().retries
        delay_ms = backoff_ms(policy.backoff_ms, attempts.tries, self._rng)
        no_retry = self._reason_against_retry(attempts, delay_ms)
        if no_retry is not None:
            self._counters.not_retried(no_retry)
            return False
        self._counters.retried(retry.reason)
        await self._clock.sleep(delay_ms)
        return True

    def _reason_against_retry(
        self,
        attempts: _Attempts,
        delay_ms: float,
    ) -> NoRetryReason | None:
        remaining_ms = attempts.context.deadline_ms - self._clock.now_ms()
        if remaining_ms <= delay_ms:
            return NoRetryReason.DEADLINE
        if not attempts.ticket and self._has_no_other_server(attempts):
            return NoRetryReason.NO_OTHER_SERVER
        cost = self._cost_of_retry(attempts)
        if attempts.context.pool.tokens < cost:
            return NoRetryReason.NO_TOKEN
        if not self._ratio(attempts).take():
            return NoRetryReason.RATIO
        attempts.context.pool.take(cost)
        return None

    def _cost_of_retry(self, attempts: _Attempts) -> int:
        """Return how many calls a retry repeats, with the nested ones."""
        if not attempts.may_have_run:
            return 1
        request = attempts.request
        operation = self._deps.policy().operation_by_name.get(
            (request.service, request.operation)
        )
        return 1 if operation is None else 1 + len(operation.callees)

    def _has_no_other_server(self, attempts: _Attempts) -> bool:
        service = attempts.request.service
        return self._deps.router.pick(service, attempts.tried) is None

    def _finish(self, attempts: _Attempts, outcome: Outcome) -> Outcome:
        match outcome:
            case NotRun() if attempts.may_have_run:
                # The answer to an earlier attempt was lost; it may have run.
                return Unknown(UnknownReason.ANSWER_LOST)
            case NotRun(ticket='') if attempts.has_callers_ticket:
                new_ticket = self._deps.issuer.issue_for_service(
                    attempts.request.service,
                    attempts.server.node,
                )
                return dataclasses.replace(outcome, ticket=new_ticket)
            case _:
                return outcome

    def _record_reports(self, server: Member, answer: Answer) -> None:
        self._deps.router.record_load(server.node, answer.load_permille)
        view = self._deps.threshold_view
        view.record_report(server.service, server.node, answer.demand)
        for service, report in answer.thresholds.items():
            view.record_relayed(service, report)

    def _ratio(self, attempts: _Attempts) -> RetryRatio:
        service = attempts.request.service
        ratio = self._ratio_by_service.get(service)
        if ratio is None:
            ratio = RetryRatio()
            self._ratio_by_service[service] = ratio
        return ratio
