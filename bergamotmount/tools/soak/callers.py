"""Callers of the soak: they keep connections open and note all they get."""

import asyncio
import contextlib
import itertools
import random

import aiohttp

from bergamotmount.platform import names
from bergamotmount.tools.soak.backend import body_of
from bergamotmount.tools.soak.plan import HostPlan
from bergamotmount.tools.soak.truth import Sent, Truth, now_s

#: Host that all routes belong to.
ROUTE_HOST = 'soak.example'

#: Time that a caller waits, and the time after which an impatient one leaves.
PATIENCE_S = 2
IMPATIENCE_S = 0.08

#: Share of callers that leave early, and kinds of requests by their shares.
LEAVING_SHARE = 0.05
PATHS = (('/front/read', 6), ('/front/order', 4), ('/stock/look', 2))

_MS_PER_SECOND = 1000
_ORDER = '/front/order'


class Callers:
    """Sends requests to the nodes of all hosts."""

    def __init__(self, truth: Truth, rng: random.Random) -> None:
        """Write to ``truth``."""
        self.life_by_host: dict[str, int] = {}
        self.version = 0
        self._truth = truth
        self._rng = rng
        self._numbers = itertools.count(1)
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self, hosts: list[HostPlan], per_s: float) -> None:
        """Send at a rate until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s))
            task = asyncio.create_task(self._ask(self._rng.choice(hosts)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for what is open, and close all connections."""
        await asyncio.gather(*self._tasks)
        for session in self._sessions.values():
            await session.close()

    async def call(
        self,
        host: HostPlan,
        parent: str,
        remaining_s: float,
        is_repeat: bool,
    ) -> int:
        """Send a call of a server and return its status."""
        sent = self._make(host, '/stock/look', is_call=True)
        if is_repeat:
            self._truth.repeated_runs.add(sent.request_id)
        await self._send(host, sent, remaining_s)
        return sent.status

    async def _ask(self, host: HostPlan) -> None:
        paths = [path for path, _ in PATHS]
        weights = [weight for _, weight in PATHS]
        path = self._rng.choices(paths, weights)[0]
        if self.version and self._rng.random() < LEAVING_SHARE:
            path = f'/v{self.version}/probe'
        sent = self._make(host, path)
        is_leaving = sent.may_repeat and self._rng.random() < LEAVING_SHARE
        if not is_leaving:
            await self._send(host, sent, PATIENCE_S)
            return
        asking = asyncio.create_task(self._send(host, sent, PATIENCE_S))
        await asyncio.wait({asking}, timeout=IMPATIENCE_S)
        if not asking.done():
            sent.left_s = now_s()
            asking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asking

    def _make(self, host: HostPlan, path: str, *, is_call=False) -> Sent:
        number = next(self._numbers)
        sent = Sent(
            f'r{number:x}-{self._rng.getrandbits(32):08x}',
            f'{path}/{number}',
            host.name,
            self.life_by_host.get(host.name, 0),
            may_repeat=path != _ORDER,
            sent_s=now_s(),
            is_call=is_call,
        )
        self._truth.sent_by_id[sent.request_id] = sent
        service = 'stock' if path.startswith('/stock') else 'front'
        self._truth.requested[service].append(sent.sent_s)
        return sent

    async def _send(self, host: HostPlan, sent: Sent, patience_s: float):
        headers = {
            'Host': ROUTE_HOST,
            names.HEADERS.request_id: sent.request_id,
            names.HEADERS.deadline: str(int(patience_s * _MS_PER_SECOND)),
        }
        url = f'http://{host.callers}{sent.path}'
        method = 'GET' if sent.may_repeat else 'POST'
        timeout = aiohttp.ClientTimeout(total=patience_s + 0.5)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session(host).request(
                method,
                url,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
                sent.answered_s = now_s()
                sent.status = response.status
                echoed = response.headers.get(names.HEADERS.request_id)
                sent.is_whole = (
                    body == body_of(sent.request_id)
                    and echoed == sent.request_id
                )

    def _session(self, host: HostPlan) -> aiohttp.ClientSession:
        session = self._sessions.get(host.name)
        if session is None:
            session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
            )
            # A second send without our knowledge would spoil the counts.
            session._retry_connection = False  # noqa: SLF001
            self._sessions[host.name] = session
        return session
