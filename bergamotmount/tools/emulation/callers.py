"""Emulated outside clients: they send requests and retry failed ones.

Clients arrive independently of each other and of the load on the servers.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import HttpRequest, header_of
from bergamotmount.forwarding.httpconnection import HttpReply
from bergamotmount.tools.emulation.model import Kind

HEADER_NAMES = HeaderNames()

#: HTTP host of all routes of the emulation.
EMULATION_HOST = 'emulation'

#: A caller follows Retry-After for at most this share of its remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3

#: Pause before a retry if there is no Retry-After or the caller ignores it.
RETRY_PAUSE_S = 0.02

_OK = 200
#: Statuses that promise that the request was not run.
_NOT_RUN_STATUSES = frozenset((429, 503))
#: Statuses that a retry would not change.
_FINAL_STATUSES = frozenset((400, 404))

#: Sends a request to the node on the named host and returns the reply.
RequestSender = Callable[[HttpRequest, str], Awaitable[HttpReply]]


@dataclasses.dataclass(slots=True)
class RequestTotals:
    """Totals over requests, by outcome.

    ``earned`` is the worth of the answers, ``owed`` what it would be if all
    requests were answered within their aim. ``refused_again`` counts the
    unsuccessful requests that were refused more than once.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refused_again: int = 0
    earned: float = 0
    owed: float = 0


@dataclasses.dataclass(slots=True)
class Results:
    """Totals by kind and by second, and the number of each final status."""

    by_kind: dict[str, RequestTotals] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(RequestTotals),
    )
    by_second: dict[int, RequestTotals] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(RequestTotals),
    )
    statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )

    def earned_share(self) -> float:
        """Return the earned share of the total worth."""
        earned = sum(totals.earned for totals in self.by_kind.values())
        return earned / max(
            sum(totals.owed for totals in self.by_kind.values()),
            1,
        )


class Callers:
    """Sends requests with the retries of clients and records the outcomes."""

    def __init__(
        self,
        send: RequestSender,
        rng: random.Random,
        results: Results,
    ) -> None:
        """Send requests by ``send`` and add their outcomes to ``results``."""
        self._send = send
        self._rng = rng
        self._results = results
        self._request_numbers = itertools.count(1)

    async def send_with_retries(
        self, kind: Kind, host: str, extra_retries: int
    ) -> None:
        """Send a request until it is served or the caller gives up.

        The first ``extra_retries`` retries ignore Retry-After.
        """
        started_s = _now_s()
        deadline_s = started_s + kind.deadline_ms / MS_PER_SECOND
        max_attempts = 1 + kind.retries + extra_retries
        refusals = 0
        status = 0
        for attempt in range(max_attempts):
            reply = await self._attempt(kind, host, deadline_s)
            status = reply.status
            if status == _OK or status in _FINAL_STATUSES:
                break
            refusals += status in _NOT_RUN_STATUSES
            if attempt + 1 == max_attempts or not self._may_retry(kind, status):
                break
            heeds_retry_after = attempt >= extra_retries
            await asyncio.sleep(
                _retry_pause_s(reply, deadline_s, heeds_retry_after),
            )
        self._record(kind, started_s, status, refusals)

    async def _attempt(
        self, kind: Kind, host: str, deadline_s: float
    ) -> HttpReply:
        remaining_ms = (deadline_s - _now_s()) * MS_PER_SECOND
        request = make_request(
            kind, f'c{next(self._request_numbers)}', remaining_ms
        )
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._send(request, host)
        except TimeoutError:
            return HttpReply(0)

    def _may_retry(self, kind: Kind, status: int) -> bool:
        return kind.is_idempotent or status in _NOT_RUN_STATUSES

    def _record(
        self,
        kind: Kind,
        started_s: float,
        status: int,
        refusals: int,
    ) -> None:
        elapsed_ms = (_now_s() - started_s) * MS_PER_SECOND
        for totals in (
            self._results.by_kind[kind.name],
            self._results.by_second[int(started_s)],
        ):
            totals.asked += 1
            totals.owed += kind.worth
            if status == _OK and elapsed_ms <= kind.aim_ms:
                totals.in_aim += 1
                totals.earned += kind.worth
            elif status == _OK:
                totals.late += 1
                totals.earned += kind.late_worth
            else:
                totals.refused += status in _NOT_RUN_STATUSES
                totals.failed += status not in _NOT_RUN_STATUSES
                totals.refused_again += refusals > 1
        self._results.statuses[status] += 1


def make_request(
    kind: Kind,
    request_id: str,
    remaining_ms: float,
) -> HttpRequest:
    """Return a request of a kind with the given id and remaining time."""
    method = 'GET' if kind.is_idempotent else 'POST'
    return HttpRequest(
        method,
        f'/{kind.name}/1',
        [
            ('Host', EMULATION_HOST),
            (HEADER_NAMES.request_id, request_id),
            (HEADER_NAMES.deadline, str(int(remaining_ms))),
        ],
    )


def _retry_pause_s(
    reply: HttpReply,
    deadline_s: float,
    heeds_retry_after: bool,
) -> float:
    header_names, header_values = reply.headers[::2], reply.headers[1::2]
    retry_after = header_of(
        zip(header_names, header_values, strict=True),
        HEADER_NAMES.retry_after,
    )
    if retry_after is None or not heeds_retry_after:
        return RETRY_PAUSE_S
    max_pause_s = max(deadline_s - _now_s(), 0) * MAX_RETRY_AFTER_SHARE
    return min(float(retry_after), max_pause_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
