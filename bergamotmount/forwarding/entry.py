"""Entry: accepts requests on this host and sends each to a backend server.

For each request the entry finds the route, checks admission, selects a server
and, after a failed attempt, decides whether another server may be tried. A
non-idempotent request is retried only after a known "not run". The reply to a
caller is "not run" only if no server can have run the request.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.activerequests import ActiveRequests
from bergamotmount.forwarding.callerheaders import parse_caller_headers
from bergamotmount.forwarding.downstreamservices import DownstreamServices
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    HttpRequest,
    forwarded_headers,
    header_of,
)
from bergamotmount.forwarding.httpconnection import (
    HttpReply,
    RemoteAddress,
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
from bergamotmount.forwarding.routetable import Route, RouteTable, SplitPicker
from bergamotmount.member import Member
from bergamotmount.messages import Answer, Call
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import Lost, NotSent
from bergamotmount.ports import Reply as PeerReply
from bergamotmount.rank import rank_of
from bergamotmount.reasons import (
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)
from bergamotmount.thresholdview import ThresholdView

#: Retry-After of a refusal that states no wait time.
DEFAULT_RETRY_AFTER_MS = 400

#: Maximum Retry-After, as a share of the time left until the deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3

#: Minimum time left until the deadline for an attempt, first try or retry.
MIN_ATTEMPT_MS = 20

_ROLE = 'egress'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDependencies:
    """Objects of the node that an entry uses."""

    router: LatencyRouter
    active_requests: ActiveRequests
    threshold_view: ThresholdView
    downstream_services: DownstreamServices
    route_table: Callable[[], RouteTable | None]
    call: Callable[[Member, Call], Awaitable[PeerReply]]
    local_service: Callable[[], str]
    new_retry_budget: Callable[[], ServiceRetryBudget]
    poison_requests: PoisonRequests


class Entry:
    """Forwards requests from callers on this host to backend servers."""

    def __init__(
        self,
        clock: Clock,
        deps: EntryDependencies,
        header_names: HeaderNames,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Refuse requests until there is a route table."""
        self.split_picker = SplitPicker(rng)
        self._clock = clock
        self._deps = deps
        self._header_names = header_names
        self._counters = counters
        self._rng = rng
        self._attempts = itertools.count(1)
        self._retry_budget_by_service: dict[str, ServiceRetryBudget] = {}
        self.decisions = DecisionLog(clock, 'entry')

    async def handle(self, request: HttpRequest, _: RemoteAddress) -> HttpReply:
        """Return the reply to a request."""
        table = self._deps.route_table()
        if table is None:
            return self._refusal_reply(NotRun(RefusalReason.NO_POLICY))
        route = table.find(
            header_of(request.headers, 'Host') or '',
            request.path,
        )
        if route is None:
            return HttpReply(_NOT_FOUND)
        pending = self._new_pending(request, route)
        if pending is None:
            return HttpReply(_BAD_REQUEST)
        try:
            reply = await self._check_and_send(pending)
        except asyncio.CancelledError:
            self._deps.active_requests.record_cancelled_call(pending.parent)
            raise
        self._deps.active_requests.record_answer(route.name, pending.parent)
        return reply

    def _new_pending(
        self,
        request: HttpRequest,
        route: Route,
    ) -> PendingRequest | None:
        """Return the request's state, ``None`` if its headers are invalid."""
        now_ms = self._clock.now_ms()
        caller = parse_caller_headers(request.headers, self._header_names)
        if caller is None:
            return None
        timeout_ms = caller.timeout_ms
        parent = self._deps.active_requests.attribute_call(
            route.name, now_ms + timeout_ms
        )
        if parent is None:
            rank = rank_of(route.level, caller.request_id)
        else:
            rank = parent.rank
        return PendingRequest(
            request,
            caller.request_id,
            route,
            self.split_picker.pick(route),
            now_ms + min(timeout_ms, route.timeout_ms),
            rank,
            parent,
        )

    async def _check_and_send(self, pending: PendingRequest) -> HttpReply:
        refusal = self._check_admission(pending)
        if refusal is not None:
            return self._refusal_reply(refusal, pending)
        return await self._send_with_retries(pending)

    def _check_admission(self, pending: PendingRequest) -> NotRun | None:
        """Return the refusal of a request, ``None`` if it is admitted.

        A new request is compared with the lowest threshold of all services
        that it needs; a nested call was admitted with its root request.
        """
        if pending.deadline_ms - self._clock.now_ms() < MIN_ATTEMPT_MS:
            return NotRun(RefusalReason.DEADLINE_TOO_CLOSE)
        if pending.parent is not None:
            pending.threshold = pending.parent.entry_threshold
            return None
        needed = (
            pending.service,
            *self._deps.downstream_services.services_of(pending.route.name),
        )
        pending.threshold = min(
            map(self._deps.threshold_view.threshold_of, needed)
        )
        if pending.rank <= pending.threshold:
            return None
        wait_ms = DEFAULT_RETRY_AFTER_MS * self._rng.uniform(1, 2)
        return NotRun(RefusalReason.OVER_THRESHOLD, int(wait_ms))

    async def _send_with_retries(self, pending: PendingRequest) -> HttpReply:
        retry_budget = self._retry_budget(pending.service)
        retry_budget.record_request()
        while True:
            server = self._pick_server(pending)
            if server is None:
                if pending.refusal is None:
                    pending.refusal = NotRun(RefusalReason.NO_SERVER)
                return self._failure_reply(pending)
            answered = await self._attempt(pending, server)
            if answered is not None:
                return HttpReply(
                    answered.status, answered.headers, answered.body
                )
            if not self._may_retry(pending, retry_budget):
                return self._failure_reply(pending)

    def _pick_server(self, pending: PendingRequest) -> Member | None:
        """Return the server to try next, ``None`` if none is left.

        A quarantined request goes to the node that may probe it.
        """
        router = self._deps.router
        if self._crashes(pending) < MIN_CRASHES:
            return router.pick(pending.service, pending.tried_nodes)
        prober = router.members.first_routable(pending.service)
        if prober is None or prober.node in pending.tried_nodes:
            return None
        return prober

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
        try:
            reply = await self._deps.call(server, call)
        finally:
            router.end_call(server.node)
        match reply:
            case Answer(outcome=Answered() as answered):
                self._record_answer(pending, server, reply)
                return answered
            case Answer(outcome=NotRun() as refusal):
                self._record_answer(pending, server, reply)
                self._record_refusal(pending, server, refusal)
            case Answer(outcome=Unknown(reason)):
                self._record_answer(pending, server, reply)
                self._record_unknown(pending, reason)
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
                self._record_unknown(pending, late if by_deadline else lost)
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
                pending.servers_reached += 1
            case RefusalReason.NOT_SERVING | RefusalReason.DRAINING:
                self._deps.router.record_failure(server.node)

    def _record_unknown(
        self, pending: PendingRequest, reason: UnknownReason
    ) -> None:
        pending.servers_reached += 1
        pending.may_have_run = True
        pending.unknown_reason = reason
        self._counters.unknown(_ROLE, reason)

    def _build_call(self, pending: PendingRequest) -> Call:
        request = pending.request
        remaining_ms = pending.deadline_ms - self._clock.now_ms()
        headers = forwarded_headers(
            request.headers,
            self._header_names.removed_from_requests,
        )
        headers.append(self._header_names.caller)
        headers.append(self._deps.local_service())
        return Call(
            attempt=next(self._attempts),
            root=pending.request_id,
            rank=pending.rank,
            remaining_ms=int(remaining_ms),
            tokens=0,
            service=pending.service,
            operation=pending.route.name,
            method=request.method,
            headers=headers,
            body=request.body,
            idempotent=pending.route.is_idempotent,
            depth=int(pending.is_nested),
            target=request.target,
            tries=len(pending.tried_nodes),
            entry_threshold=pending.threshold,
        )

    def _may_retry(
        self, pending: PendingRequest, retry_budget: ServiceRetryBudget
    ) -> bool:
        """Return whether another server may be tried, and count that.

        A request that no server has received yet doesn't spend the budget.
        """
        reason = self._no_retry_reason(pending)
        if reason is None and pending.servers_reached:
            is_allowed = retry_budget.try_spend(pending.may_have_run)
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
        if pending.servers_reached >= pending.route.max_servers:
            return NoRetryReason.NO_OTHER_SERVER
        if self._crashes(pending) >= MAX_CRASHES_PER_ATTEMPT:
            return NoRetryReason.SERVERS_CRASHED
        return None

    def _failure_reply(self, pending: PendingRequest) -> HttpReply:
        """Return the reply after the last attempt failed."""
        if pending.may_have_run:
            self._log_decision('unknown', pending, pending.unknown_reason)
            is_late = pending.unknown_reason is UnknownReason.ANSWER_LATE
            return HttpReply(_GATEWAY_TIMEOUT if is_late else _BAD_GATEWAY)
        return self._refusal_reply(pending.refusal, pending)

    def _refusal_reply(
        self, refusal: NotRun, pending: PendingRequest | None = None
    ) -> HttpReply:
        """Return a 503 with the time after which the caller may retry."""
        self._counters.refused(_ROLE, refusal.reason)
        wait_ms: float = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        if pending is not None:
            self._log_decision('refused', pending, refusal.reason)
            remaining_ms = pending.deadline_ms - self._clock.now_ms()
            wait_ms = min(wait_ms, max(remaining_ms, 0) * MAX_RETRY_AFTER_SHARE)
        seconds = f'{wait_ms / MS_PER_SECOND:.3f}'
        return HttpReply(
            _UNAVAILABLE, [self._header_names.retry_after, seconds]
        )

    def _log_decision(
        self, kind: str, pending: PendingRequest, reason: str
    ) -> None:
        self.decisions.write(
            f'{kind}_call' if pending.is_nested else kind,
            request=pending.request_id,
            route=pending.route.name,
            reason=reason,
            rank=pending.rank,
            threshold=pending.threshold,
            tried=','.join(sorted(pending.tried_nodes)),
            left_ms=round(pending.deadline_ms - self._clock.now_ms()),
        )

    def _retry_budget(self, service: str) -> ServiceRetryBudget:
        retry_budget = self._retry_budget_by_service.get(service)
        if retry_budget is None:
            retry_budget = self._deps.new_retry_budget()
            self._retry_budget_by_service[service] = retry_budget
        return retry_budget
