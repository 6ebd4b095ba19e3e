"""Entry: accepts requests on this host and sends each to a backend server.

For each request the entry finds the route and checks admission; the sender
makes the attempts. The reply to a caller is "not run" only if no server can
have run the request.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.activerequests import ActiveRequests
from bergamotmount.forwarding.callercheck import CallerCheck
from bergamotmount.forwarding.callerheaders import parse_caller_headers
from bergamotmount.forwarding.downstreamservices import DownstreamServices
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import HttpRequest, header_of
from bergamotmount.forwarding.httpconnection import (
    HttpReply,
    RemoteAddress,
)
from bergamotmount.forwarding.outcometotals import (
    OutcomeKey,
    OutcomeTotals,
    RequestOutcome,
)
from bergamotmount.forwarding.pendingrequest import PendingRequest
from bergamotmount.forwarding.policywatch import PolicyWatch
from bergamotmount.forwarding.routetable import Route, RouteTable, SplitPicker
from bergamotmount.forwarding.sender import (
    ENTRY_ROLE,
    MIN_ATTEMPT_MS,
    Sender,
)
from bergamotmount.organisations.identity import Denied, Identified
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.quotas import Quotas
from bergamotmount.outcomes import NotRun
from bergamotmount.rank import rank_of
from bergamotmount.reasons import DenialReason, RefusalReason, UnknownReason
from bergamotmount.thresholdview import ThresholdView

#: Retry-After of a refusal that states no wait time.
DEFAULT_RETRY_AFTER_MS = 400

#: Lower bound of Retry-After while a service has no server, before jitter: by
#: then each server has announced itself to a node that has just started.
NO_SERVER_RETRY_AFTER_MS = 1200

#: Refusals that end once servers or the policy are known again.
_UNTIL_SERVERS_ARE_KNOWN = frozenset(
    (
        RefusalReason.NO_SERVER,
        RefusalReason.NO_POLICY,
        RefusalReason.NO_FRESH_POLICY,
    )
)

#: Maximum Retry-After, as a share of the time left until the caller's deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3

#: Maximum length of a host in a line of the log, in characters.
MAX_LOGGED_CHARS = 80

#: Status of a failure after which a request may have run.
BAD_GATEWAY = 502

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Reason of a 404 in the log.
_NO_ROUTE = 'no_route'

_CHALLENGE_HEADER = 'WWW-Authenticate'


@dataclasses.dataclass(frozen=True, slots=True)
class EntryDependencies:
    """Objects of the node that an entry uses."""

    sender: Sender
    active_requests: ActiveRequests
    threshold_view: ThresholdView
    downstream_services: DownstreamServices
    route_table: Callable[[], RouteTable | None]
    caller_check: CallerCheck
    quotas: Quotas
    policy_watch: PolicyWatch


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
        self._stop_refusal: NotRun | None = None
        self.decisions = DecisionLog(clock, 'entry')
        self.totals = OutcomeTotals(clock, 'entry')

    async def handle(self, request: HttpRequest, _: RemoteAddress) -> HttpReply:
        """Return the reply to a request."""
        table = self._deps.route_table()
        refusal = self._stop_refusal
        if table is None:
            refusal = NotRun(RefusalReason.NO_POLICY)
        if refusal is not None:
            return self._early_refusal_reply(request, '', refusal)
        route = table.find(
            header_of(request.headers, 'Host') or '',
            request.path,
        )
        if route is None:
            return self._unrouted_reply(request)
        match self._deps.caller_check.check(request, route, table):
            case Denied(reason):
                return self._denial_reply(request, route, reason)
            case NotRun() as refusal:
                return self._early_refusal_reply(request, route.name, refusal)
            case Identified(organisation):
                pending = self._new_pending(request, route, table, organisation)
        if pending is None:
            return HttpReply(_BAD_REQUEST)
        pending.removes_key = table.key_ring is not None
        try:
            reply = await self._check_and_send(pending)
        except asyncio.CancelledError:
            self._deps.active_requests.record_cancelled_call(pending.parent)
            self._count_outcome(pending, RequestOutcome.GAVE_UP)
            raise
        if pending.organisation is None:
            self._deps.active_requests.record_answer(route.name, pending.parent)
        return reply

    def refuse_new(self, retry_after_ms: float) -> None:
        """Refuse all requests from now on, as this node stops."""
        self._stop_refusal = NotRun(RefusalReason.DRAINING, int(retry_after_ms))

    def check_head(self, request: HttpRequest) -> int | None:
        """Return the status of a request that is denied whatever its body."""
        table = self._deps.route_table()
        if table is None:
            return None
        host = header_of(request.headers, 'Host') or ''
        route = table.find(host, request.path)
        if route is None:
            return self._unrouted_reply(request).status
        identity = self._deps.caller_check.check(request, route, table)
        if isinstance(identity, Denied):
            self._counters.denied(identity.reason)
            return _UNAUTHORIZED
        return None

    def _new_pending(
        self,
        request: HttpRequest,
        route: Route,
        table: RouteTable,
        organisation: Organisation | None,
    ) -> PendingRequest | None:
        """Return the request's state, ``None`` if its headers are invalid."""
        now_ms = self._clock.now_ms()
        caller = parse_caller_headers(request.headers, self._header_names)
        if caller is None:
            return None
        timeout_ms = caller.timeout_ms
        parent = None
        if organisation is None:
            parent = self._deps.active_requests.attribute_call(
                route.name, now_ms + timeout_ms
            )
        if parent is None:
            level = table.level_of(organisation, route)
            rank = rank_of(level, caller.request_id)
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
            now_ms,
            now_ms + timeout_ms,
            organisation=organisation,
            policy_version=table.policy.version,
        )

    async def _check_and_send(self, pending: PendingRequest) -> HttpReply:
        refusal = self._check_admission(pending)
        if refusal is None:
            refusal = await self._deps.quotas.spend(pending.organisation)
        if refusal is not None:
            return self._refusal_reply(refusal, pending)
        answered = await self._deps.sender.send(pending)
        if answered is None:
            if not pending.may_have_run:
                self._deps.quotas.give_back(pending.organisation)
            return self._failure_reply(pending)
        self._count_answer(pending, answered.status)
        return HttpReply(answered.status, answered.headers, answered.body)

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

    def _unrouted_reply(self, request: HttpRequest) -> HttpReply:
        """Return a 404 for a request that no route of the policy matches."""
        self._record_early_end(
            'denied', request, '', RequestOutcome.DENIED, _NO_ROUTE
        )
        return HttpReply(_NOT_FOUND)

    def _denial_reply(
        self, request: HttpRequest, route: Route, reason: DenialReason
    ) -> HttpReply:
        """Return a 401 for a request without an accepted key."""
        self._counters.denied(reason)
        self._record_early_end(
            'denied', request, route.name, RequestOutcome.DENIED, reason
        )
        return HttpReply(
            _UNAUTHORIZED, [_CHALLENGE_HEADER, self._header_names.key_scheme]
        )

    def _early_refusal_reply(
        self, request: HttpRequest, route_name: str, refusal: NotRun
    ) -> HttpReply:
        """Return the reply to a request that was refused before admission."""
        self._record_early_end(
            'refused',
            request,
            route_name,
            RequestOutcome.REFUSED,
            refusal.reason,
        )
        return self._make_refusal(refusal, math.inf)

    def _record_early_end(
        self,
        kind: str,
        request: HttpRequest,
        route_name: str,
        outcome: RequestOutcome,
        reason: str,
    ) -> None:
        self.decisions.write(
            kind,
            request=header_of(request.headers, self._header_names.request_id)
            or '',
            host=(header_of(request.headers, 'Host') or '')[:MAX_LOGGED_CHARS],
            route=route_name,
            reason=reason,
            **self._describe_policy(self._version),
        )
        key = OutcomeKey(route_name, False, outcome, reason, self._version)
        self.totals.record(key)

    def _failure_reply(self, pending: PendingRequest) -> HttpReply:
        """Return the reply after the last attempt failed."""
        if pending.may_have_run:
            self._log_decision('unknown', pending, pending.unknown_reason)
            self._count_outcome(
                pending, RequestOutcome.UNKNOWN, pending.unknown_reason
            )
            is_late = pending.unknown_reason is UnknownReason.ANSWER_LATE
            return HttpReply(_GATEWAY_TIMEOUT if is_late else BAD_GATEWAY)
        return self._refusal_reply(pending.refusal, pending)

    def _refusal_reply(
        self, refusal: NotRun, pending: PendingRequest
    ) -> HttpReply:
        self._log_decision('refused', pending, refusal.reason)
        self._count_outcome(pending, RequestOutcome.REFUSED, refusal.reason)
        remaining_ms = pending.caller_deadline_ms - self._clock.now_ms()
        max_wait_ms = max(remaining_ms, 0) * MAX_RETRY_AFTER_SHARE
        return self._make_refusal(refusal, max_wait_ms)

    def _make_refusal(self, refusal: NotRun, max_wait_ms: float) -> HttpReply:
        """Return a 429 or 503 with the time after which to retry."""
        self._counters.refused(ENTRY_ROLE, refusal.reason)
        wait_ms: float = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        if refusal.reason in _UNTIL_SERVERS_ARE_KNOWN:
            wait_ms = NO_SERVER_RETRY_AFTER_MS * self._rng.uniform(1, 1.5)
        seconds = f'{int(min(wait_ms, max_wait_ms)) / MS_PER_SECOND:.3f}'
        is_over_quota = refusal.reason is RefusalReason.OVER_QUOTA
        status = _TOO_MANY_REQUESTS if is_over_quota else _UNAVAILABLE
        return HttpReply(status, [self._header_names.retry_after, seconds])

    def _count_answer(self, pending: PendingRequest, status: int) -> None:
        elapsed_ms = self._clock.now_ms() - pending.received_ms
        if status >= _SERVER_ERROR:
            outcome = RequestOutcome.FAILED
        elif elapsed_ms > pending.route.goal_ms:
            outcome = RequestOutcome.LATE
        else:
            outcome = RequestOutcome.ANSWERED
        self._count_outcome(pending, outcome)

    def _count_outcome(
        self, pending: PendingRequest, outcome: RequestOutcome, reason: str = ''
    ) -> None:
        self.totals.record(
            OutcomeKey(
                pending.route.name,
                pending.is_nested,
                outcome,
                reason,
                pending.policy_version,
            )
        )

    def _log_decision(
        self, kind: str, pending: PendingRequest, reason: str
    ) -> None:
        self.decisions.write(
            f'{kind}_call' if pending.is_nested else kind,
            request=pending.request_id,
            route=pending.route.name,
            organisation=pending.organisation_name,
            reason=reason,
            rank=pending.rank,
            threshold=pending.threshold,
            tried=','.join(sorted(pending.tried_nodes)),
            sends=pending.sends,
            left_ms=round(pending.deadline_ms - self._clock.now_ms()),
            **self._describe_policy(pending.policy_version),
        )

    @property
    def _version(self) -> int:
        """Active version of the policy, -1 without one."""
        table = self._deps.route_table()
        return -1 if table is None else table.policy.version

    def _describe_policy(self, version: int) -> dict[str, object]:
        """Return the fields that tell which policy decided, and its evidence.

        ``policy_age_ms`` is the time since the active version was last found
        to be the newest.
        """
        age_ms = self._deps.policy_watch.age_ms
        return {
            'policy': version,
            'policy_age_ms': 'none' if math.isinf(age_ms) else round(age_ms),
        }
