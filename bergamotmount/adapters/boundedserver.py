"""HTTP server of the product's own interface, with bounds on its connections.

What connections hold counts in the memory account of the process::

    server = BoundedServer(respond, account, max_connections=1000)
    runner = web.ServerRunner(server)
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from aiohttp import web

from bergamotmount.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryAccount,
)

#: Memory of a head that is being received, as a multiple of its bytes.
HEAD_MEMORY_FACTOR = 8


class BoundedHandler(web.RequestHandler):
    """One connection; it holds the head that is being received."""

    __slots__ = ('_holding', '_received_head_bytes')

    def __init__(self, manager: 'BoundedServer', **options: object) -> None:
        """Hold nothing but the connection itself."""
        super().__init__(manager, **options)
        self._received_head_bytes = 0
        self._holding = manager.account.open(HoldingKind.CALLER, self._shed)

    @property
    def is_handling(self) -> bool:
        """Whether a request has been received and has no response yet."""
        return self._current_request is not None or bool(self._messages)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, and count those of an incomplete head."""
        requests = self._request_count
        super().data_received(received)
        if self.is_handling or self._request_count != requests:
            self._received_head_bytes = 0
        else:
            self._received_head_bytes += len(received)
        head_memory = self._received_head_bytes * HEAD_MEMORY_FACTOR
        self._holding.move()
        self._holding.update(CONNECTION_BYTES + head_memory, head_memory)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Hold nothing any more."""
        self._holding.close()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close immediately."""
        if self.transport is not None:
            self.transport.abort()

    def _shed(self) -> None:
        self._holding.close()
        self.abort()


class BoundedServer(web.Server):
    """Accepts connections up to a maximum.

    Where there are more, the oldest ends that has no request to answer, else
    the new one.
    """

    def __init__(
        self,
        respond: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        account: MemoryAccount,
        max_connections: float = math.inf,
        **options: object,
    ) -> None:
        """Pass requests to ``respond``; ``options`` are the library's."""
        super().__init__(respond, **options)
        self.account = account
        self._max_connections = max_connections

    def __call__(self) -> BoundedHandler:
        """Return the handler of a new connection."""
        return BoundedHandler(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self, handler: BoundedHandler, transport: asyncio.Transport
    ) -> None:
        """Register a connection; close one if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) <= self._max_connections:
            return
        idle = (each for each in self.connections if not each.is_handling)
        next(idle, handler).abort()
