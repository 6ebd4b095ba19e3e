"""Listener for the connections that other nodes open."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from bergamotmount.counters import Counters
from bergamotmount.memoryaccount import MemoryAccount
from bergamotmount.reasons import DropReason
from bergamotmount.wire.tcp import TcpChannel


class PeerListener:
    """Listens for peers and serves each connection in its own task."""

    def __init__(
        self,
        serve: Callable[[TcpChannel], Awaitable[None]],
        counters: Counters,
        account: MemoryAccount | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Pass each accepted channel to ``serve``.

        What channels hold counts in ``account``. Where there are more than
        ``max_connections``, the one that was silent for longest is closed.
        """
        self._serve = serve
        self._counters = counters
        self._account = account
        self._max_connections = max_connections
        self._channels: set[TcpChannel] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listen on ``ip:port`` and return the bound address.

        Raise ``OSError`` when the address can't be bound.
        """
        host, _, port = address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: TcpChannel(
                self._counters, self._accept, account=self._account
            ),
            host,
            int(port),
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and cancel the tasks of all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, channel: TcpChannel) -> None:
        if len(self._channels) >= self._max_connections:
            self._counters.dropped(DropReason.TOO_MANY_CONNECTIONS)
            silent = min(self._channels, key=lambda each: each.received_ms)
            self._channels.discard(silent)
            silent.close()
        self._channels.add(channel)
        task = asyncio.create_task(self._serve_until_end(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_until_end(self, channel: TcpChannel) -> None:
        try:
            await self._serve(channel)
        finally:
            self._channels.discard(channel)
