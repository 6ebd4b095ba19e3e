"""Backend servers of the emulation: slots, a queue, work, and calls."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import HttpRequest, HttpResponse, header_of
from bergamotmount.forwarding.httpclient import (
    BrokenExchangeError,
    NotConnectedError,
)
from bergamotmount.tools.emulation.model import Calls, Kind, Service

NAMES = HeaderNames()

#: Time between a server and its own node, one way.
HOP_S = 0.0001

_OK = 200
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: Sends a call of a server through its own node: kind, id of the run, and
#: when the run expires, in seconds of the loop; returns a status.
Caller = Callable[[Kind, str, float], Awaitable[int]]


class PlayedServer:
    """One server with its slots."""

    def __init__(
        self,
        service: Service,
        speed: float,
        kind_by_name: dict[str, Kind],
        rng: random.Random,
    ) -> None:
        """Serve the kinds of ``service`` at ``speed``."""
        self.service = service
        self.call: Caller | None = None
        self.recover()
        self.runs = 0
        self.refused = 0
        self.good = 0
        self._speed = speed
        self._kind_by_name = kind_by_name
        self._rng = rng
        self._running = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    def recover(self) -> None:
        """Be sound again after whatever was wrong."""
        self.slowness: float = 1
        self.shed_share: float = 0
        self.fail_share: float = 0
        self.is_down = False
        self.is_hanging = False

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        if self.is_down:
            raise BrokenExchangeError(
                'reset', response_started=False, was_reused=False
            )
        if self.is_hanging:
            await asyncio.sleep(MS_PER_SECOND)
        if self._rng.random() < self.shed_share or not await self._enter():
            self.refused += 1
            return _respond(request, _UNAVAILABLE, is_not_run=True)
        try:
            return await self._run(request)
        finally:
            self._leave()

    async def _enter(self) -> bool:
        if self._running < self.service.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.service.queue:
            return False
        place = asyncio.get_running_loop().create_future()
        self._waiting.append(place)
        await place
        return True

    def _leave(self) -> None:
        while self._waiting:
            place = self._waiting.popleft()
            if not place.done():
                place.set_result(None)
                return
        self._running -= 1

    async def _run(self, request: HttpRequest) -> HttpResponse:
        now_s = asyncio.get_running_loop().time()
        kind = self._kind_by_name[request.path.split('/')[1]]
        remaining_ms = int(header_of(request.headers, NAMES.deadline))
        expires_s = now_s + remaining_ms / MS_PER_SECOND
        self.runs += 1
        try:
            async with asyncio.timeout_at(expires_s):
                await asyncio.sleep(self._work_ms(kind) / MS_PER_SECOND)
                is_good = await self._calls(kind, request, expires_s)
        except TimeoutError:
            return _respond(request, _GATEWAY_TIMEOUT)
        if self._rng.random() < self.fail_share:
            is_good = False
        self.good += is_good
        return _respond(request, _OK if is_good else _SERVER_ERROR)

    def _work_ms(self, kind: Kind) -> float:
        busy = self._running / self.service.slots
        is_slow = busy >= self.service.knee
        factor = self.service.knee_factor if is_slow else 1
        sigma = kind.spread
        drawn = self._rng.lognormvariate(-(sigma**2) / 2, sigma)
        return kind.work_ms * drawn * factor * self.slowness / self._speed

    async def _calls(
        self,
        kind: Kind,
        request: HttpRequest,
        expires_s: float,
    ) -> bool:
        match kind.calls:
            case None:
                return True
            case Calls(called, times, at_once):
                callee = self._kind_by_name[called]
        run = header_of(request.headers, NAMES.request_id)
        if at_once:
            statuses = await asyncio.gather(
                *(self.call(callee, run, expires_s) for _ in range(times)),
            )
            return all(status == _OK for status in statuses)
        for _ in range(times):
            if await self.call(callee, run, expires_s) != _OK:
                return False
        return True


class PlayedConnection:
    """Connection of a node to its server."""

    def __init__(self, server: PlayedServer) -> None:
        """Carry requests to ``server``."""
        self.requests = 0
        self._server = server

    async def exchange(
        self,
        packed: bytes,
        matches: Callable[[HttpResponse], bool],
        is_head: bool = False,
    ) -> HttpResponse:
        """Send a request and return its response."""
        self.requests += 1
        await asyncio.sleep(HOP_S)
        response = await self._server.serve(_unpack(packed))
        await asyncio.sleep(HOP_S)
        if not matches(response):
            raise BrokenExchangeError(
                'not this one', response_started=True, was_reused=False
            )
        return response


class PlayedPool:
    """Pool of connections to one server."""

    def __init__(self, server: PlayedServer) -> None:
        """Connect to ``server``."""
        self.opened = 0
        self._server = server

    async def acquire(self, is_fresh: bool = False) -> PlayedConnection:
        """Return a connection; raise :class:`NotConnectedError`."""
        if self._server.is_down:
            raise NotConnectedError('refused')
        return PlayedConnection(self._server)

    def release(self, connection: PlayedConnection) -> None:
        """Keep nothing."""

    def close_idle(self) -> None:
        """Keep nothing."""


def _respond(
    request: HttpRequest,
    status: int,
    is_not_run: bool = False,
) -> HttpResponse:
    headers = [
        (NAMES.request_id, header_of(request.headers, NAMES.request_id)),
        (NAMES.signature, 's'),
    ]
    if is_not_run:
        headers.append((NAMES.not_run, '1'))
    return HttpResponse(status, headers, b'')


def _unpack(packed: bytes) -> HttpRequest:
    lines = packed.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = [tuple(line.split(': ', 1)) for line in lines[1:] if line]
    return HttpRequest(method, target, headers)
