"""Callers of a node: orders, pipelined idempotent requests, and probes."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.http import header_of, pack_request
from bergamotmount.platform import names
from bergamotmount.tools.soak.httpcaller import (
    CallerConnection,
    EndedError,
    Response,
)
from bergamotmount.tools.soak.ledger import Ledger

DEADLINE_MS = 5000
THINK_S = 0.02
RECONNECT_S = 0.05
MAX_WAIT_S = 0.4

#: Share of the requests that are sent in two parts, and the longest pause
#: between these.
SLOW_SHARE = 0.03
MAX_SLOW_S = 2

#: Pause after the answer to a probe.
PROBE_PAUSE_S = 0.1

#: Requests that a caller sends before it reads the first response.
PIPELINED = 3

_SUCCESSES = range(200, 300)
_HEADERS = names.HEADERS


def is_own(response: Response, request: str) -> bool:
    """Return whether a response is whole and answers this request.

    A failure of the node itself bears no signature.
    """
    signature = header_of(response.headers, _HEADERS.signature)
    if response.status in _SUCCESSES:
        is_whole = response.body == f'done {request}'.encode()
        return is_whole and (signature or '').endswith(f'.{request}')
    return signature is None or signature.endswith(f'.{request}')


class Caller:
    """One caller of one node; it keeps its connection until that ends."""

    def __init__(
        self,
        name: str,
        node: str,
        address: str,
        ledger: Ledger,
        think_s: float = THINK_S,
    ) -> None:
        """Start without a connection; pause for ``think_s`` after answers."""
        self._name = name
        self._node = node
        self._address = address
        self._ledger = ledger
        self._think_s = think_s
        self._rng = random.Random(name)
        self._numbers = itertools.count(1)
        self._connection: CallerConnection | None = None

    async def send_orders(self) -> None:
        """Send the next order after each answer, for ever."""
        with contextlib.closing(self):
            while True:
                await self._exchange('POST', 'order', count=1)
                await asyncio.sleep(self._think_s)

    async def send_pipelined(self) -> None:
        """Send several idempotent requests at once, for ever."""
        with contextlib.closing(self):
            while True:
                count = self._rng.randint(1, PIPELINED)
                await self._exchange('GET', 'view', count)
                await asyncio.sleep(self._think_s)

    async def send_probes(self, choose_route: Callable[[], str]) -> None:
        """Send idempotent requests for routes that changes concern."""
        with contextlib.closing(self):
            while True:
                await self._exchange('GET', choose_route(), count=1)
                await asyncio.sleep(PROBE_PAUSE_S)

    def close(self) -> None:
        """Close the connection if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, method: str, route: str, count: int) -> None:
        """Send some requests at once and read their responses in order."""
        if not await self._connect():
            return
        requests = []
        try:
            for _ in range(count):
                requests.append(await self._send(method, route))
            for request in requests:
                await self._receive(request)
        except EndedError:
            self.close()
            self._ledger.record_unanswered(requests)

    async def _connect(self) -> bool:
        if self._connection is not None:
            return True
        try:
            self._connection = await CallerConnection.open(self._address)
        except EndedError:
            await asyncio.sleep(RECONNECT_S)
            return False
        return True

    async def _send(self, method: str, route: str) -> str:
        request = f'{self._name}-{next(self._numbers)}'
        is_idempotent = method == 'GET'
        headers = [
            'Host',
            'shop.example',
            _HEADERS.request_id,
            request,
            _HEADERS.deadline,
            str(DEADLINE_MS),
        ]
        body = b'' if is_idempotent else b'order'
        packed = pack_request(method, f'/{route}/1', headers, body)
        is_slow = self._rng.random() < SLOW_SHARE
        end = self._rng.randrange(len(packed)) if is_slow else 0
        self._connection.send(packed[:end])
        if is_slow:
            await asyncio.sleep(self._rng.uniform(0, MAX_SLOW_S))
        self._ledger.record_sent(request, self._node, is_idempotent, route)
        self._connection.send(packed[end:])
        return request

    async def _receive(self, request: str) -> None:
        response = await self._connection.read(DEADLINE_MS + MS_PER_SECOND)
        self._ledger.record_end(
            request, response.status, is_own(response, request)
        )
        wait_s = float(header_of(response.headers, _HEADERS.retry_after) or 0)
        await asyncio.sleep(min(wait_s, MAX_WAIT_S))
        if response.closes:
            raise EndedError('the node closes the connection')
