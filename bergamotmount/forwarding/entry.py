"""Entry: takes requests on this host and carries each to a server.

What is decided here, in this order: the route, whether the request can get in
at all, the server, and after a failure whether another server may get it. A
request that must not run twice goes on only after a known "not run". A caller
hears "not run" only if no server may have got the request.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    HttpRequest,
    flat_without,
    header_of,
)
from bergamotmount.forwarding.httpconnection import (
    Origin,
    Reply,
)
from bergamotmount.forwarding.needs import RouteNeeds
from bergamotmount.forwarding.placement import Placement
from bergamotmount.forwarding.retrybudget import ServiceRetries
from bergamotmount.forwarding.routetable import Route, RouteTable, SplitPicker
from bergamotmount.forwarding.runs import RunsInHand
from bergamotmount.forwarding.work import Work, is_good
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

#: Time to return that is told when nothing better is known.
RETRY_AFTER_MS = 400

#: Share of the remaining time that a caller is asked to wait at most.
WAIT_SHARE = 1 / 3

#: Least time left in which another server is still asked.
LEAST_RETRY_MS = 20

_ROLE = 'egress'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParts:
    """What an entry shares with the other parts of its node."""

    router: Placement
    runs: RunsInHand
    view: ThresholdView
    needs: RouteNeeds
    table: Callable[[], RouteTable | None]
    call: Callable[[Member, Call], Awaitable[PeerReply]]
    own_service: Callable[[], str]
    new_retries: Callable[[], ServiceRetries]


class Entry:
    """Carries requests of the callers on this host to servers."""

    def __init__(
        self,
        clock: Clock,
        parts: EntryParts,
        names: HeaderNames,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Serve no request before there is a route table."""
        self.splits = SplitPicker(rng)
        self._clock = clock
        self._parts = parts
        self._names = names
        self._counters = counters
        self._rng = rng
        self._attempts = itertools.count(1)
        self._retries_by_service: dict[str, ServiceRetries] = {}
        self._decisions = DecisionLog(clock, 'entry')

    async def handle(self, request: HttpRequest, _: Origin) -> Reply:
        """Return the reply to a request."""
        table = self._parts.table()
        if table is None:
            return self._refused(NotRun(RefusalReason.NO_POLICY))
        route = table.find(
            header_of(request.headers, 'Host') or '',
            request.path,
        )
        if route is None:
            return Reply(_NOT_FOUND)
        work = self._work_of(request, route)
        if work is None:
            return Reply(_BAD_REQUEST)
        try:
            reply = await self._reply(work)
        except asyncio.CancelledError:
            self._parts.runs.abandoned(work.parent)
            raise
        self._parts.runs.answered(route.name, work.parent)
        return reply

    def _work_of(
        self,
        request: HttpRequest,
        route: Route,
    ) -> Work | None:
        now_ms = self._clock.now_ms()
        single = self._single_headers(request)
        if single is None:
            return None
        request_id, granted_ms = single
        parent = self._parts.runs.take_call(route.name, now_ms + granted_ms)
        if parent is None:
            rank = rank_of(route.level, request_id)
        else:
            rank = parent.rank
        return Work(
            request,
            request_id,
            route,
            self.splits.pick(route),
            now_ms + min(granted_ms, route.timeout_ms),
            rank,
            parent,
        )

    def _single_headers(
        self,
        request: HttpRequest,
    ) -> tuple[str, float] | None:
        request_id = ''
        granted_ms = float('inf')
        seen = set()
        for name, text in request.headers:
            lowered = name.lower()
            if lowered not in self._names.once:
                continue
            if lowered in seen:
                return None
            seen.add(lowered)
            if lowered == self._names.request_id.lower():
                request_id = text
            elif text.isdecimal():
                granted_ms = int(text)
            else:
                return None
        return request_id, granted_ms

    async def _reply(self, work: Work) -> Reply:
        refusal = self._check(work)
        if refusal is not None:
            return self._refused(refusal, work)
        return await self._run(work)

    def _check(self, work: Work) -> NotRun | None:
        if work.deadline_ms - self._clock.now_ms() < LEAST_RETRY_MS:
            return NotRun(RefusalReason.DEADLINE_TOO_CLOSE)
        if work.parent is not None:
            work.threshold = work.parent.entry_threshold
            return None
        needed = (work.service, *self._parts.needs.of(work.route.name))
        work.threshold = min(map(self._parts.view.current, needed))
        if work.rank <= work.threshold:
            return None
        wait_ms = RETRY_AFTER_MS * self._rng.uniform(1, 2)
        return NotRun(RefusalReason.OVER_THRESHOLD, int(wait_ms))

    async def _run(self, work: Work) -> Reply:
        retries = self._retries(work.service)
        retries.sent()
        while True:
            server = self._parts.router.pick(work.service, work.tried)
            if server is None:
                if work.refusal is None:
                    work.refusal = NotRun(RefusalReason.NO_SERVER)
                return self._give_up(work)
            answered = await self._attempt(work, server)
            if answered is not None:
                return Reply(answered.status, answered.headers, answered.body)
            if not self._may_retry(work, retries):
                return self._give_up(work)

    async def _attempt(self, work: Work, server: Member) -> Answered | None:
        router = self._parts.router
        call = self._call_of(work)
        work.tried.add(server.node)
        router.begin_call(server.node)
        try:
            reply = await self._parts.call(server, call)
        finally:
            router.end_call(server.node)
        match reply:
            case Answer(outcome=Answered() as answered):
                self._heard(work, server, reply)
                return answered
            case Answer(outcome=NotRun() as refusal):
                self._heard(work, server, reply)
                self._note_refusal(work, server, refusal)
            case Answer(outcome=Unknown(reason)):
                self._heard(work, server, reply)
                self._note_unknown(work, reason)
            case NotSent():
                router.record_failure(server.node)
                self._note_refusal(
                    work,
                    server,
                    NotRun(RefusalReason.UNREACHABLE),
                )
            case Lost(by_deadline):
                if not by_deadline:
                    router.record_failure(server.node)
                late = UnknownReason.ANSWER_LATE
                lost = UnknownReason.ANSWER_LOST
                self._note_unknown(work, late if by_deadline else lost)
        return None

    def _heard(self, work: Work, server: Member, answer: Answer) -> None:
        router = self._parts.router
        router.record_load(server.node, answer.load_permille)
        router.served(
            server.node,
            answer.service_ms,
            is_good(answer.outcome),
        )
        view = self._parts.view
        view.record_report(work.service, server.node, answer.demand)
        for service, report in answer.thresholds.items():
            view.record_relayed(service, report)
        self._parts.needs.hear(work.route.name, answer.needs)

    def _note_refusal(
        self,
        work: Work,
        server: Member,
        refusal: NotRun,
    ) -> None:
        work.refusal = refusal
        match refusal.reason:
            case RefusalReason.SERVER_SHED:
                work.servers_reached += 1
            case RefusalReason.NOT_SERVING | RefusalReason.DRAINING:
                self._parts.router.record_failure(server.node)

    def _note_unknown(self, work: Work, reason: UnknownReason) -> None:
        work.servers_reached += 1
        work.may_have_run = True
        work.unknown = reason
        self._counters.unknown(_ROLE, reason)

    def _call_of(self, work: Work) -> Call:
        request = work.request
        remaining_ms = work.deadline_ms - self._clock.now_ms()
        headers = flat_without(
            request.headers,
            self._names.not_passed_to_servers,
        )
        headers.append(self._names.caller)
        headers.append(self._parts.own_service())
        return Call(
            attempt=next(self._attempts),
            root=work.request_id,
            rank=work.rank,
            remaining_ms=int(remaining_ms),
            tokens=0,
            service=work.service,
            operation=work.route.name,
            method=request.method,
            headers=headers,
            body=request.body,
            idempotent=work.route.is_idempotent,
            depth=int(work.is_inner),
            target=request.target,
            tries=len(work.tried),
            entry_threshold=work.threshold,
        )

    def _may_retry(self, work: Work, retries: ServiceRetries) -> bool:
        reason = self._reason_against_retry(work)
        if reason is None and work.servers_reached:
            is_allowed = retries.take(work.may_have_run)
            reason = None if is_allowed else NoRetryReason.RATIO
        if reason is not None:
            self._counters.not_retried(reason)
            return False
        lost = RetryReason.ANSWER_LOST
        refused = RetryReason.REFUSED
        self._counters.retried(lost if work.may_have_run else refused)
        return True

    def _reason_against_retry(self, work: Work) -> NoRetryReason | None:
        if work.may_have_run and not work.route.is_idempotent:
            return NoRetryReason.NOT_IDEMPOTENT
        if work.deadline_ms - self._clock.now_ms() < LEAST_RETRY_MS:
            return NoRetryReason.DEADLINE
        if work.servers_reached >= work.route.max_servers:
            return NoRetryReason.NO_OTHER_SERVER
        return None

    def _give_up(self, work: Work) -> Reply:
        if work.may_have_run:
            self._write('unknown', work, work.unknown)
            is_late = work.unknown is UnknownReason.ANSWER_LATE
            return Reply(_GATEWAY_TIMEOUT if is_late else _BAD_GATEWAY)
        return self._refused(work.refusal, work)

    def _refused(self, refusal: NotRun, work: Work | None = None) -> Reply:
        self._counters.refused(_ROLE, refusal.reason)
        wait_ms: float = refusal.retry_after_ms or RETRY_AFTER_MS
        if work is not None:
            self._write('refused', work, refusal.reason)
            remaining_ms = work.deadline_ms - self._clock.now_ms()
            wait_ms = min(wait_ms, max(remaining_ms, 0) * WAIT_SHARE)
        seconds = f'{wait_ms / MS_PER_SECOND:.3f}'
        return Reply(_UNAVAILABLE, [self._names.retry_after, seconds])

    def _write(self, kind: str, work: Work, reason: str) -> None:
        self._decisions.write(
            f'{kind}_call' if work.is_inner else kind,
            request=work.request_id,
            route=work.route.name,
            reason=reason,
            rank=work.rank,
            threshold=work.threshold,
            tried=','.join(sorted(work.tried)),
            left_ms=round(work.deadline_ms - self._clock.now_ms()),
        )

    def _retries(self, service: str) -> ServiceRetries:
        retries = self._retries_by_service.get(service)
        if retries is None:
            retries = self._parts.new_retries()
            self._retries_by_service[service] = retries
        return retries
