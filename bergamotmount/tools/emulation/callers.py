"""Callers of the emulation: they come on their own, wait, and come back."""

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

NAMES = HeaderNames()

#: Host that all routes of the emulation belong to.
HOST = 'emulation'

#: Share of the remaining time for which a caller waits as it was told.
WAIT_SHARE = 1 / 3

#: Pause of a caller that tries again without having been told when.
PAUSE_S = 0.02

_OK = 200
_PROMISES = frozenset((429, 503))
_FINAL = frozenset((400, 404))

#: Sends a request into the graph and returns the reply.
Send = Callable[[HttpRequest, str], Awaitable[HttpReply]]


@dataclasses.dataclass(slots=True)
class KindResult:
    """How the requests of one kind went."""

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
    """Results by kind, and worth by second."""

    by_kind: dict[str, KindResult] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(KindResult),
    )
    by_second: dict[int, KindResult] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(KindResult),
    )
    statuses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )

    def worth(self) -> float:
        """Return the share of worth that was earned."""
        earned = sum(each.earned for each in self.by_kind.values())
        return earned / max(sum(each.owed for each in self.by_kind.values()), 1)


class Callers:
    """Sends requests of one kind after the other and notes how they went."""

    def __init__(
        self,
        send: Send,
        rng: random.Random,
        results: Results,
    ) -> None:
        """Send by ``send`` and write to ``results``."""
        self._send = send
        self._rng = rng
        self._results = results
        self._numbers = itertools.count(1)

    async def ask(self, kind: Kind, host: str, more_tries: int) -> None:
        """Send a request until it is served, or the caller gives up."""
        started_s = _now_s()
        deadline_s = started_s + kind.deadline_ms / MS_PER_SECOND
        tries = 1 + kind.retries + more_tries
        refusals = 0
        status = 0
        for attempt in range(tries):
            reply = await self._try(kind, host, deadline_s)
            status = reply.status
            if status == _OK or status in _FINAL:
                break
            refusals += status in _PROMISES
            if attempt + 1 == tries or not self._may_repeat(kind, status):
                break
            is_patient = attempt >= more_tries
            await asyncio.sleep(_pause_s(reply, deadline_s, is_patient))
        self._note(kind, started_s, status, refusals)

    async def _try(self, kind: Kind, host: str, deadline_s: float) -> HttpReply:
        remaining_ms = (deadline_s - _now_s()) * MS_PER_SECOND
        request = make_request(kind, f'c{next(self._numbers)}', remaining_ms)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await self._send(request, host)
        except TimeoutError:
            return HttpReply(0)

    def _may_repeat(self, kind: Kind, status: int) -> bool:
        return kind.is_idempotent or status in _PROMISES

    def _note(
        self,
        kind: Kind,
        started_s: float,
        status: int,
        refusals: int,
    ) -> None:
        elapsed_ms = (_now_s() - started_s) * MS_PER_SECOND
        for result in (
            self._results.by_kind[kind.name],
            self._results.by_second[int(started_s)],
        ):
            result.asked += 1
            result.owed += kind.worth
            if status == _OK and elapsed_ms <= kind.aim_ms:
                result.in_aim += 1
                result.earned += kind.worth
            elif status == _OK:
                result.late += 1
                result.earned += kind.late_worth
            else:
                result.refused += status in _PROMISES
                result.failed += status not in _PROMISES
                result.refused_again += refusals > 1
        self._results.statuses[status] += 1


def make_request(
    kind: Kind,
    request_id: str,
    remaining_ms: float,
) -> HttpRequest:
    """Return a request of a kind, as callers and servers send it."""
    method = 'GET' if kind.is_idempotent else 'POST'
    return HttpRequest(
        method,
        f'/{kind.name}/1',
        [
            ('Host', HOST),
            (NAMES.request_id, request_id),
            (NAMES.deadline, str(int(remaining_ms))),
        ],
    )


def _pause_s(reply: HttpReply, deadline_s: float, is_patient: bool) -> float:
    names, texts = reply.headers[::2], reply.headers[1::2]
    told = header_of(zip(names, texts, strict=True), NAMES.retry_after)
    if told is None or not is_patient:
        return PAUSE_S
    longest_s = max(deadline_s - _now_s(), 0) * WAIT_SHARE
    return min(float(told), longest_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
