"""Sender: sends an admitted request to servers until one answers.

After a failed attempt it decides whether another server may be tried. A
non-idempotent request is retried only after a known "not run".

Load pattern: every server of a service sheds a part of its requests, and a
request above needs several answers of that service in a row. Once the servers
that a request may be sent to have all shed it, it goes back to one of them
after a pause: it hasn't run there, and the budget of retries still bounds how
often that happens.
"""

import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.forwarding.downstreamservices import DownstreamServices
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    NOT_RUN_STATUSES,
    encode_header,
    forwarded_headers,
)
from bergamotmount.forwarding.latencyrouter import LatencyRouter
from bergamotmount.forwarding.pendingrequest import PendingRequest, is_success
from bergamotmount.forwarding.poisonrequests import (
    MAX_CRASHES_PER_ATTEMPT,
    MIN_CRASHES,
    PoisonRequests,
    forwarded_fingerprint,
)
from bergamotmount.forwarding.retrybudget import ServiceRetryBudget
from bergamotmount.member import Member
from bergamotmount.messages import MAX_BODY_BYTES, Answer, Call
from bergamotmount.organisations.freshness import PolicyFreshness
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import Lost, NotSent
from bergamotmount.ports import Reply as PeerReply
from bergamotmount.reasons import (
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)
from bergamotmount.reports import PolicyEvidence
from bergamotmount.thresholdview import ThresholdView

#: Minimum time left until the deadline for an attempt, first try or retry.
MIN_ATTEMPT_MS = 20

#: Maximum number of sends of one request to servers.
MAX_SENDS = 6

#: Upper bound of the pause before a request goes back to a server that shed it.
MAX_RETURN_PAUSE_MS = 40

#: Role of an entry node in counters.
ENTRY_ROLE = 'egress'


@dataclasses.dataclass(frozen=True, slots=True)
class SenderDependencies:
    """Objects of the node that a sender uses."""

    router: LatencyRouter
    threshold_view: ThresholdView
    downstream_services: DownstreamServices
    call: Callable[[Member, Call], Awaitable[PeerReply]]
    local_service: Callable[[], str]
    new_retry_budget: Callable[[], ServiceRetryBudget]
    poison_requests: PoisonRequests
    freshness: PolicyFreshness
    learn_evidence: Callable[[PolicyEvidence | None, float], None]


class Sender:
    """Makes the attempts at the requests of one entry."""

    def __init__(
        self,
        clock: Clock,
        deps: SenderDependencies,
        header_names: HeaderNames,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Start without recorded requests; ``rng`` adds jitter to pauses."""
        self._clock = clock
        self._deps = deps
        self._header_names = header_names
        self._counters = counters
        self._rng = rng
        self._attempts = itertools.count(1)
        self._retry_budget_by_service: dict[str, ServiceRetryBudget] = {}

    async def send(self, pending: PendingRequest) -> Answered | None:
        """Return the answer of a server, ``None`` if there is none.

        The request then tells whether it may have run, and the reason.
        """
        retry_budget = self._retry_budget(pending.service)
        retry_budget.record_request(pending.is_called_by_repeat)
        while True:
            if not self._may_send(pending):
                pending.refusal = NotRun(RefusalReason.NO_FRESH_POLICY)
                return None
            server = self._pick_server(pending)
            if server is None:
                if pending.refusal is None:
                    pending.refusal = NotRun(RefusalReason.NO_SERVER)
                return None
            if server.node in pending.shed_nodes:
                await self._pause_before_return()
            answered = await self._attempt(pending, server)
            if answered is not None:
                return answered
            if not self._may_retry(pending, retry_budget):
                return None

    def _may_send(self, pending: PendingRequest) -> bool:
        """Return whether the key of a request may still be accepted."""
        return pending.organisation is None or self._deps.freshness.is_fresh

    def _pick_server(self, pending: PendingRequest) -> Member | None:
        """Return the server to try next, ``None`` if none is left.

        A quarantined request goes to the node that may probe it, one with a
        body that no message holds to the server on this host.
        """
        router = self._deps.router
        if len(pending.request.body) > MAX_BODY_BYTES:
            return self._pick_local(pending)
        if self._crashes(pending) < MIN_CRASHES:
            server = None
            if pending.may_reach_another_server:
                server = router.pick(pending.service, pending.tried_nodes)
            return server or self._pick_again(pending)
        prober = router.members.first_routable(pending.service)
        if prober is None or prober.node in pending.tried_nodes:
            return None
        return prober

    def _pick_local(self, pending: PendingRequest) -> Member | None:
        members = self._deps.router.members
        if members.local_node not in pending.tried_nodes:
            for member in members.routable(pending.service):
                if member.node == members.local_node:
                    return member
        if pending.refusal is None:
            pending.refusal = NotRun(RefusalReason.BODY_TOO_LARGE)
        return None

    def _pick_again(self, pending: PendingRequest) -> Member | None:
        """Return a server that shed the request, ``None`` if there is none."""
        if not pending.may_return:
            return None
        router = self._deps.router
        others = {
            member.node
            for member in router.members.routable(pending.service)
            if member.node not in pending.shed_nodes
        }
        return router.pick(pending.service, others)

    async def _pause_before_return(self) -> None:
        pause_ms = MAX_RETURN_PAUSE_MS * self._rng.uniform(0.5, 1)
        await self._clock.sleep(pause_ms)

    def _crashes(self, pending: PendingRequest) -> int:
        """Return how many servers are known to have crashed under a request."""
        poison_requests = self._deps.poison_requests
        if poison_requests.is_empty:
            return 0
        request = pending.request
        return poison_requests.crashes(
            forwarded_fingerprint(
                request.method,
                pending.route.name,
                request.target,
                request.body,
            )
        )

    async def _attempt(
        self, pending: PendingRequest, server: Member
    ) -> Answered | None:
        router = self._deps.router
        call = self._build_call(pending)
        pending.tried_nodes.add(server.node)
        router.begin_call(server.node)
        sent_ms = self._clock.now_ms()
        try:
            reply = await self._deps.call(server, call)
        finally:
            router.end_call(server.node)
        if isinstance(reply, Answer):
            self._deps.learn_evidence(reply.evidence, sent_ms)
        match reply:
            case Answer(outcome=Answered(status)) if (
                status in NOT_RUN_STATUSES and not pending.route.is_idempotent
            ):
                # A gateway of an older release passes these on.
                self._record_answer(pending, server, reply)
                self._record_unknown(
                    pending, server, UnknownReason.UNMARKED_REFUSAL
                )
            case Answer(outcome=Answered() as answered):
                self._record_answer(pending, server, reply)
                return answered
            case Answer(outcome=NotRun() as refusal):
                self._record_answer(pending, server, reply)
                self._record_refusal(pending, server, refusal)
            case Answer(outcome=Unknown(reason)):
                self._record_answer(pending, server, reply)
                self._record_unknown(pending, server, reason)
            case NotSent():
                router.record_failure(server.node)
                self._record_refusal(
                    pending,
                    server,
                    NotRun(RefusalReason.UNREACHABLE),
                )
            case Lost(by_deadline):
                if not by_deadline:
                    router.record_failure(server.node)
                late = UnknownReason.ANSWER_LATE
                lost = UnknownReason.ANSWER_LOST
                reason = late if by_deadline else lost
                self._record_unknown(pending, server, reason)
        return None

    def _record_answer(
        self, pending: PendingRequest, server: Member, answer: Answer
    ) -> None:
        """Store the load, thresholds and dependencies in an answer."""
        router = self._deps.router
        router.record_load(server.node, answer.load_permille)
        router.record_answer(
            server.node,
            answer.service_ms,
            is_success(answer.outcome),
        )
        threshold_view = self._deps.threshold_view
        threshold_view.record_report(
            pending.service, server.node, answer.demand
        )
        for service, report in answer.thresholds.items():
            threshold_view.record_relayed(service, report)
        self._deps.downstream_services.record(pending.route.name, answer.needs)
        self._deps.poison_requests.learn(answer.crashes)

    def _record_refusal(
        self,
        pending: PendingRequest,
        server: Member,
        refusal: NotRun,
    ) -> None:
        pending.refusal = refusal
        match refusal.reason:
            case RefusalReason.SERVER_SHED:
                pending.record_reached(server.node)
                # A gateway of an older release may take a late copy of this
                # refusal for the answer to the next send.
                if refusal.may_return or pending.route.is_idempotent:
                    pending.shed_nodes.add(server.node)
            case RefusalReason.NOT_SERVING | RefusalReason.DRAINING:
                self._deps.router.record_failure(server.node)

    def _record_unknown(
        self, pending: PendingRequest, server: Member, reason: UnknownReason
    ) -> None:
        pending.record_reached(server.node)
        pending.may_have_run = True
        pending.unknown_reason = reason
        self._counters.unknown(ENTRY_ROLE, reason)

    def _build_call(self, pending: PendingRequest) -> Call:
        request = pending.request
        remaining_ms = pending.deadline_ms - self._clock.now_ms()
        return Call(
            attempt=next(self._attempts),
            root=pending.request_id,
            rank=pending.rank,
            remaining_ms=int(remaining_ms),
            tokens=0,
            service=pending.service,
            operation=pending.route.name,
            method=request.method,
            headers=self._headers_to_forward(pending),
            body=request.body,
            idempotent=pending.route.is_idempotent,
            depth=int(pending.is_nested),
            target=request.target,
            tries=len(pending.tried_nodes),
            entry_threshold=pending.threshold,
            is_repeat=pending.is_repeat,
        )

    def _headers_to_forward(self, pending: PendingRequest) -> list[str]:
        names = self._header_names
        removed = names.removed_from_requests
        if pending.removes_key:
            removed = names.removed_with_keys
        headers = forwarded_headers(pending.request.headers, removed)
        headers.append(names.caller)
        headers.append(self._deps.local_service())
        if pending.organisation is not None:
            headers.append(names.organisation)
            headers.append(encode_header(pending.organisation.name))
        return headers

    def _may_retry(
        self, pending: PendingRequest, retry_budget: ServiceRetryBudget
    ) -> bool:
        """Return whether another server may be tried, and count that.

        A request that no server has received yet doesn't spend the budget.
        """
        reason = self._no_retry_reason(pending)
        if reason is None and pending.sends:
            is_allowed = retry_budget.try_spend(
                pending.may_have_run, pending.rank
            )
            reason = None if is_allowed else NoRetryReason.RATIO
        if reason is not None:
            self._counters.not_retried(reason)
            return False
        lost = RetryReason.ANSWER_LOST
        refused = RetryReason.REFUSED
        self._counters.retried(lost if pending.may_have_run else refused)
        return True

    def _no_retry_reason(self, pending: PendingRequest) -> NoRetryReason | None:
        if pending.may_have_run and not pending.route.is_idempotent:
            return NoRetryReason.NOT_IDEMPOTENT
        if pending.deadline_ms - self._clock.now_ms() < MIN_ATTEMPT_MS:
            return NoRetryReason.DEADLINE
        if not pending.may_reach_another_server and not pending.may_return:
            return NoRetryReason.NO_OTHER_SERVER
        if pending.sends >= MAX_SENDS:
            return NoRetryReason.MAX_SENDS
        if self._crashes(pending) >= MAX_CRASHES_PER_ATTEMPT:
            return NoRetryReason.SERVERS_CRASHED
        return None

    def _retry_budget(self, service: str) -> ServiceRetryBudget:
        retry_budget = self._retry_budget_by_service.get(service)
        if retry_budget is None:
            retry_budget = self._deps.new_retry_budget()
            self._retry_budget_by_service[service] = retry_budget
        return retry_budget
