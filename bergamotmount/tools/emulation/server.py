"""Emulated backend servers and the connections of nodes to them.

A server has slots and a queue, spends a random time on each request and sends
nested calls through the node beside it.
"""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import HttpRequest, HttpResponse, header_of
from bergamotmount.forwarding.httpclient import (
    NotConnectedError,
)
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
)
from bergamotmount.tools.emulation.model import CallPlan, Kind, Service

HEADER_NAMES = HeaderNames()

#: One-way delay between a server and the node beside it.
SERVER_DELAY_S = 0.0001

_OK = 200
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: Sends a nested call through the node beside the server, given the kind, the
#: id of the parent request and the parent's deadline in seconds of the event
#: loop. Returns the HTTP status, 0 on a timeout.
NestedCallSender = Callable[[Kind, str, float], Awaitable[int]]


class EmulatedServer:
    """A backend server with slots, a queue and injectable faults."""

    def __init__(
        self,
        service: Service,
        speed: float,
        kind_by_name: dict[str, Kind],
        rng: random.Random,
    ) -> None:
        """Start without faults and with all slots free."""
        self.service = service
        self.send_nested_call: NestedCallSender | None = None
        self.clear_faults()
        self.executions = 0
        self.refused = 0
        self.successes = 0
        self._speed = speed
        self._kind_by_name = kind_by_name
        self._rng = rng
        self._busy_slots = 0
        self._queue: collections.deque[asyncio.Future] = collections.deque()

    def clear_faults(self) -> None:
        """Clear all injected faults."""
        self.slowdown: float = 1
        self.shed_share: float = 0
        self.fail_share: float = 0
        self.is_down = False
        self.is_hanging = False

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request.

        Raise :class:`~bergamotmount.forwarding.httpclient.BrokenExchangeError`
        while the server is down.
        """
        if self.is_down:
            raise BrokenExchangeError(
                'connection reset',
                response_started=False,
                was_reused=False,
            )
        if self.is_hanging:
            # 1000 s exceeds the deadline of every request.
            await asyncio.sleep(MS_PER_SECOND)
        if (
            self._rng.random() < self.shed_share
            or not await self._acquire_slot()
        ):
            self.refused += 1
            return _make_response(request, _UNAVAILABLE, is_not_run=True)
        try:
            return await self._execute(request)
        finally:
            self._release_slot()

    async def _acquire_slot(self) -> bool:
        if self._busy_slots < self.service.slots:
            self._busy_slots += 1
            return True
        if len(self._queue) >= self.service.queue:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._queue.append(waiter)
        await waiter
        return True

    def _release_slot(self) -> None:
        while self._queue:
            waiter = self._queue.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._busy_slots -= 1

    async def _execute(self, request: HttpRequest) -> HttpResponse:
        now_s = asyncio.get_running_loop().time()
        kind = self._kind_by_name[request.path.split('/')[1]]
        remaining_ms = int(header_of(request.headers, HEADER_NAMES.deadline))
        deadline_s = now_s + remaining_ms / MS_PER_SECOND
        self.executions += 1
        try:
            async with asyncio.timeout_at(deadline_s):
                await asyncio.sleep(self._work_ms(kind) / MS_PER_SECOND)
                is_successful = await self._send_nested_calls(
                    kind,
                    request,
                    deadline_s,
                )
        except TimeoutError:
            return _make_response(request, _GATEWAY_TIMEOUT)
        if self._rng.random() < self.fail_share:
            is_successful = False
        self.successes += is_successful
        return _make_response(request, _OK if is_successful else _SERVER_ERROR)

    def _work_ms(self, kind: Kind) -> float:
        busy_share = self._busy_slots / self.service.slots
        is_slow = busy_share >= self.service.knee
        factor = self.service.knee_factor if is_slow else 1
        sigma = kind.spread
        variation = self._rng.lognormvariate(-(sigma**2) / 2, sigma)
        return kind.work_ms * variation * factor * self.slowdown / self._speed

    async def _send_nested_calls(
        self,
        kind: Kind,
        request: HttpRequest,
        deadline_s: float,
    ) -> bool:
        match kind.calls:
            case None:
                return True
            case CallPlan(callee_name, times, at_once):
                callee = self._kind_by_name[callee_name]
        parent_id = header_of(request.headers, HEADER_NAMES.request_id)
        if at_once:
            statuses = await asyncio.gather(
                *(
                    self.send_nested_call(callee, parent_id, deadline_s)
                    for _ in range(times)
                ),
            )
            return all(status == _OK for status in statuses)
        for _ in range(times):
            if (
                await self.send_nested_call(callee, parent_id, deadline_s)
                != _OK
            ):
                return False
        return True


class EmulatedConnection:
    """Connection from a node to the server beside it."""

    def __init__(self, server: EmulatedServer) -> None:
        """Start without any requests sent."""
        self.number = 1
        self.requests = 0
        self._server = server

    def record_refusal(self, request_id: str) -> None:
        """Do nothing: the connection isn't reused."""

    async def exchange(
        self,
        packed: bytes,
        matches: Callable[[HttpResponse], bool],
        is_head: bool = False,
        body: bytes = b'',
    ) -> HttpResponse:
        """Send a request and return its response.

        Raise :class:`~bergamotmount.forwarding.httpclient.BrokenExchangeError`
        if the server is down or the response belongs to another request.
        """
        self.requests += 1
        await asyncio.sleep(SERVER_DELAY_S)
        response = await self._server.serve(_parse_request(packed + body))
        await asyncio.sleep(SERVER_DELAY_S)
        if not matches(response):
            raise BrokenExchangeError(
                'response does not match the request',
                response_started=True,
                was_reused=False,
            )
        return response


class EmulatedPool:
    """Connection pool that opens a new connection for every request."""

    def __init__(self, server: EmulatedServer) -> None:
        """Open no connection until one is acquired."""
        self.opened = 0
        self._server = server

    async def acquire(
        self, request_id: str = '', is_fresh: bool = False
    ) -> EmulatedConnection:
        """Return a new connection.

        Raise :class:`NotConnectedError` while the server is down.
        """
        if self._server.is_down:
            raise NotConnectedError('connection refused')
        return EmulatedConnection(self._server)

    def release(self, connection: EmulatedConnection) -> None:
        """Do nothing: connections are not reused."""

    def close_idle(self) -> None:
        """Do nothing: there are no idle connections."""


def _make_response(
    request: HttpRequest,
    status: int,
    is_not_run: bool = False,
) -> HttpResponse:
    headers = [
        (
            HEADER_NAMES.request_id,
            header_of(request.headers, HEADER_NAMES.request_id),
        ),
        (HEADER_NAMES.signature, 's'),
    ]
    if is_not_run:
        headers.append((HEADER_NAMES.not_run, '1'))
    return HttpResponse(status, headers, b'')


def _parse_request(packed: bytes) -> HttpRequest:
    lines = packed.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = [tuple(line.split(': ', 1)) for line in lines[1:] if line]
    return HttpRequest(method, target, headers)
