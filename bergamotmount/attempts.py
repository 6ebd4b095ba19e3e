"""Attempts at one call: choice of server, judgement of replies, retries.

What is answered is true whatever was lost: "not run" is said only when no
attempt can have run.
"""

import dataclasses
import itertools
import random
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.context import Context, InHand
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import RETRY_AFTER_MS, EntryCheck
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
class EgressParts:
    """Parts that an egress works with.

    ``policy`` returns the policy in force, ``view`` keeps what answers tell
    of thresholds, ``in_hand`` knows the parents of child calls.
    """

    members: Members
    router: Router
    transport: PeerTransport
    issuer: TicketIssuer
    entry_check: EntryCheck
    view: ThresholdView
    in_hand: InHand
    policy: Callable[[], Policy]


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    reason: RetryReason
    outcome: Outcome
    same_home: bool = False


@dataclasses.dataclass(slots=True)
class _Attempts:
    """The attempts at one call."""

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
    """Makes the attempts at the calls of one egress."""

    def __init__(
        self,
        clock: Clock,
        parts: EgressParts,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Send calls with the given parts; ``rng`` spreads the retries."""
        self._clock = clock
        self._parts = parts
        self._counters = counters
        self._rng = rng
        self._attempt_ids = itertools.count(1)
        self._ratio_by_service: dict[str, RetryRatio] = {}

    async def run(self, request: Request, context: Context) -> Outcome:
        """Make attempts at a call until one settles it or none is left."""
        attempts = _Attempts(request, context)
        self._ratio(attempts).first_try(self._parts.policy().retries.ratio)
        while True:
            judged = await self._attempt(attempts)
            if not isinstance(judged, _Retry):
                return self._finish(attempts, judged)
            if not await self._may_retry(attempts, judged):
                return self._finish(attempts, judged.outcome)

    async def _attempt(self, attempts: _Attempts) -> Outcome | _Retry:
        problem = self._choose_server(attempts)
        if problem is not None:
            return problem
        attempts.tries += 1
        server = attempts.server
        lent = attempts.context.pool.lend()
        call = self._make_call(attempts, lent)
        self._parts.router.sent(server.node)
        try:
            reply = await self._parts.transport.call(server, call)
        finally:
            self._parts.router.returned(server.node)
        return self._judge(attempts, reply, lent)

    def _choose_server(self, attempts: _Attempts) -> Outcome | None:
        if attempts.has_callers_ticket:
            return self._choose_home(attempts)
        if attempts.ticket:
            return None
        service = attempts.request.service
        attempts.server = self._parts.router.pick(service, attempts.tried)
        if attempts.server is None:
            return NotRun(RefusalReason.NO_SERVER, RETRY_AFTER_MS)
        if not attempts.context.idempotent:
            attempts.ticket = self._parts.issuer.issue_for_server(
                attempts.server
            )
        return None

    def _choose_home(self, attempts: _Attempts) -> Outcome | None:
        ticket = self._parts.issuer.verify(attempts.request.ticket)
        if ticket is None or ticket.service != attempts.request.service:
            fresh = self._parts.issuer.issue_for_service(
                attempts.request.service
            )
            return NotRun(RefusalReason.TICKET_INVALID, ticket=fresh)
        home = self._parts.members.member_by_node.get(ticket.home)
        if home is None:
            return Unknown(UnknownReason.HOME_UNREACHABLE)
        if home.incarnation > ticket.incarnation:
            return Unknown(UnknownReason.HOME_RESTARTED)
        attempts.server = home
        attempts.ticket = attempts.request.ticket
        return None

    def _make_call(self, attempts: _Attempts, lent: int) -> Call:
        request, context = attempts.request, attempts.context
        return Call(
            attempt=next(self._attempt_ids),
            root=context.root,
            rank=context.rank,
            remaining_ms=int(context.deadline_ms - self._clock.now_ms()),
            tokens=lent,
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

    def _judge(
        self,
        attempts: _Attempts,
        reply: Reply,
        lent: int,
    ) -> Outcome | _Retry:
        node = attempts.server.node
        match reply:
            case Answer():
                attempts.context.pool.give_back(reply.tokens, lent)
                self._hear(attempts.server, reply)
                return self._judge_outcome(attempts, reply.outcome)
            case NotSent():
                attempts.context.pool.give_back(lent, lent)
                self._parts.router.failed(node)
                return self._judge_not_sent(attempts)
            case Lost(by_deadline=True):
                attempts.may_have_run = True
                return Unknown(UnknownReason.ANSWER_LATE)
            case Lost():
                attempts.may_have_run = True
                self._parts.router.failed(node)
                outcome = Unknown(UnknownReason.ANSWER_LOST)
                return self._retry_elsewhere(
                    attempts,
                    _Retry(RetryReason.ANSWER_LOST, outcome, same_home=True),
                )

    def _judge_outcome(
        self,
        attempts: _Attempts,
        outcome: Outcome,
    ) -> Outcome | _Retry:
        match outcome:
            case Answered():
                return outcome
            case NotRun():
                return self._judge_refusal(attempts, outcome)
            case Unknown(UnknownReason.HOME_RESTARTED) if (
                not attempts.has_callers_ticket and not attempts.may_have_run
            ):
                # Only the earlier incarnation could run the ticket, and it
                # never got it.
                return self._judge_not_sent(attempts)
            case Unknown():
                attempts.may_have_run = True
                if not attempts.context.idempotent:
                    self._counters.not_retried(NoRetryReason.NOT_IDEMPOTENT)
                    return outcome
                retry = _Retry(RetryReason.ANSWER_LOST, outcome)
                return self._retry_elsewhere(attempts, retry)

    def _judge_refusal(
        self,
        attempts: _Attempts,
        outcome: NotRun,
    ) -> Outcome | _Retry:
        if attempts.ticket:
            # The home voided the ticket before it answered, so no earlier
            # copy of this call has run either.
            attempts.may_have_run = False
        if outcome.reason not in REFUSED_BY_LOAD:
            self._counters.not_retried(NoRetryReason.NOT_REFUSED_BY_LOAD)
            return outcome
        if attempts.has_callers_ticket:
            return outcome
        retry = _Retry(RetryReason.REFUSED, outcome)
        return self._retry_elsewhere(attempts, retry)

    def _judge_not_sent(self, attempts: _Attempts) -> _Retry:
        outcome: Outcome = NotRun(RefusalReason.UNREACHABLE, RETRY_AFTER_MS)
        needs_home = attempts.has_callers_ticket or attempts.may_have_run
        if needs_home:
            # An earlier copy of the request may be running at its home.
            outcome = Unknown(UnknownReason.HOME_UNREACHABLE)
        retry = _Retry(
            RetryReason.UNREACHABLE,
            outcome,
            same_home=needs_home and bool(attempts.ticket),
        )
        return self._retry_elsewhere(attempts, retry)

    def _retry_elsewhere(self, attempts: _Attempts, retry: _Retry) -> _Retry:
        if retry.same_home and attempts.ticket:
            return retry
        attempts.ticket = ''
        if not retry.same_home:
            # After a lost connection the same server may well answer over a
            # new one; the router avoids it for a moment anyway.
            attempts.tried.add(attempts.server.node)
        return retry

    async def _may_retry(self, attempts: _Attempts, retry: _Retry) -> bool:
        policy = self._parts.policy().retries
        wait_ms = backoff_ms(policy.backoff_ms, attempts.tries, self._rng)
        obstacle = self._find_obstacle(attempts, wait_ms)
        if obstacle is not None:
            self._counters.not_retried(obstacle)
            return False
        self._counters.retried(retry.reason)
        await self._clock.sleep(wait_ms)
        return True

    def _find_obstacle(
        self,
        attempts: _Attempts,
        wait_ms: float,
    ) -> NoRetryReason | None:
        left_ms = attempts.context.deadline_ms - self._clock.now_ms()
        if left_ms <= wait_ms:
            return NoRetryReason.DEADLINE
        if not attempts.ticket and self._is_last(attempts):
            return NoRetryReason.NO_OTHER_SERVER
        if not attempts.context.pool.tokens:
            return NoRetryReason.NO_TOKEN
        if not self._ratio(attempts).take():
            return NoRetryReason.RATIO
        attempts.context.pool.take()
        return None

    def _is_last(self, attempts: _Attempts) -> bool:
        service = attempts.request.service
        return self._parts.router.pick(service, attempts.tried) is None

    def _finish(self, attempts: _Attempts, outcome: Outcome) -> Outcome:
        match outcome:
            case NotRun() if attempts.may_have_run:
                # An earlier attempt was lost and may have run.
                return Unknown(UnknownReason.ANSWER_LOST)
            case NotRun(ticket='') if attempts.has_callers_ticket:
                fresh = self._parts.issuer.issue_for_service(
                    attempts.request.service,
                    attempts.server.node,
                )
                return dataclasses.replace(outcome, ticket=fresh)
            case _:
                return outcome

    def _hear(self, server: Member, answer: Answer) -> None:
        self._parts.router.reported(server.node, answer.load_permille)
        view = self._parts.view
        view.hear_server(server.service, server.node, answer.demand)
        for service, report in answer.thresholds.items():
            view.hear_told(service, report)

    def _ratio(self, attempts: _Attempts) -> RetryRatio:
        service = attempts.request.service
        ratio = self._ratio_by_service.get(service)
        if ratio is None:
            ratio = RetryRatio()
            self._ratio_by_service[service] = ratio
        return ratio
