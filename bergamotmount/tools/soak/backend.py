"""Backend servers of the soak: they run, call, announce themselves, leave."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Awaitable, Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from bergamotmount.platform import names
from bergamotmount.tools.process import Closer, start_site
from bergamotmount.tools.soak.plan import HEARTBEAT_S, HostPlan
from bergamotmount.tools.soak.truth import Arrival, Truth, now_s

SLOTS = 24

#: Work of one request, and time that a leaving server goes on, in seconds.
WORK_S = (0.002, 0.12)
STAYS_S = 3

#: Sequence of the last announcement of an instance.
LAST_SEQUENCE = 1_000_000_000

#: Share of requests that lead to a call, and the time it may take.
CALL_SHARE = 0.5
CALL_S = 0.8

_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503
_SERVER_ERROR = 500
_MS_PER_SECOND = 1000

#: Sends a call through the node of a host and returns its status.
Caller = Callable[[HostPlan, str, float, bool], Awaitable[int]]


def body_of(request_id: str) -> bytes:
    """Return the body that belongs to a request, in some kilobytes."""
    return request_id.encode() * (20 + hash(request_id) % 200)


class Backend:
    """The backend server on one host; it may start anew."""

    def __init__(
        self,
        host: HostPlan,
        truth: Truth,
        rng: random.Random,
        call: Caller,
    ) -> None:
        """Run beside the node of ``host`` and make calls by ``call``."""
        self.host = host
        self.shed_share: float = 0
        self.lose_share: float = 0
        self.slowness: float = 1
        self.instance = ''
        self._truth = truth
        self._rng = rng
        self._call = call
        self._starts = itertools.count(1)
        self._running = 0
        self._is_leaving = False
        self._close: Closer | None = None
        self._announcing: asyncio.Task | None = None

    async def start(self) -> None:
        """Start under a new instance, and announce it."""
        self.instance = f'i-{self.host.name}-{next(self._starts)}'
        self._is_leaving = False
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', self._serve)
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        self._close = await start_site(runner, self.host.server)
        self._announcing = asyncio.create_task(self._announce())

    async def crash(self) -> None:
        """End at once, without a word."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._close is not None:
            await self._close()
            self._close = None

    async def leave(self, *, says_draining: bool) -> None:
        """Leave as planned, and go on for a while."""
        self._is_leaving = True
        self._announcing.cancel()
        if says_draining:
            await self._tell('PUT', state='draining')
            await asyncio.sleep(STAYS_S)
            await self._tell('DELETE')
        else:
            await self._tell('DELETE')
            await asyncio.sleep(STAYS_S)
        await self.crash()

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        request_id = http.headers[names.HEADERS.request_id]
        target = http.headers.get(names.HEADERS.target, self.instance)
        if target != self.instance:
            return web.Response(status=_MISDIRECTED)
        is_run = self._running < SLOTS and self._rng.random() >= self.shed_share
        arrival = self._truth.arrive(
            request_id,
            self.host.service,
            self.host.name,
            self.instance,
            is_run=is_run,
        )
        echo = {names.HEADERS.request_id: request_id}
        if not is_run:
            refused = {**echo, names.HEADERS.not_run: '1'}
            return web.Response(status=_UNAVAILABLE, headers=refused)
        self._running += 1
        try:
            is_good = await self._run(http, arrival)
        finally:
            self._running -= 1
            arrival.ended_s = now_s()
        if self._rng.random() < self.lose_share:
            http.transport.abort()
        status = _OK if is_good else _SERVER_ERROR
        stamp = {**echo, names.HEADERS.signature: self.instance}
        body = body_of(request_id)
        return web.Response(status=status, headers=stamp, body=body)

    async def _run(self, http: web.Request, arrival: Arrival) -> bool:
        await asyncio.sleep(self._rng.uniform(*WORK_S) * self.slowness)
        makes_call = self._rng.random() < CALL_SHARE
        if not http.path.startswith('/front/') or not makes_call:
            return True
        remaining_ms = float(http.headers[names.HEADERS.deadline])
        remaining_s = min(remaining_ms / _MS_PER_SECOND, CALL_S)
        status = await self._call(
            self.host,
            arrival.request_id,
            remaining_s,
            arrival.is_repeat,
        )
        return status == _OK

    async def _announce(self) -> None:
        born = int(time.time() * _MS_PER_SECOND)
        for sequence in itertools.count(1):
            await self._tell('PUT', sequence, born)
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell(
        self,
        method: str,
        sequence: int = LAST_SEQUENCE,
        born: int = 0,
        state: str = 'ready',
    ) -> None:
        born = born or int(time.time() * _MS_PER_SECOND)
        url = f'http://{self.host.control}{names.INSTANCES_PATH}{self.instance}'
        about = {
            'service': self.host.service,
            'version': 'v1',
            'zone': self.host.failure_domain,
            'slots': SLOTS,
        }
        status = {'state': state, 'sequence': sequence, 'cold_left_s': 0}
        beat = {
            'address': self.host.server,
            'info': about,
            'status': status,
            'born': born,
        }
        timeout = ClientTimeout(total=1)
        with contextlib.suppress(ClientError, OSError, TimeoutError):
            async with (
                ClientSession(timeout=timeout) as session,
                session.request(method, url, json=beat) as response,
            ):
                if response.status == _OK and self._is_leaving:
                    self._truth.left_s_by_instance.setdefault(
                        self.instance,
                        now_s(),
                    )
