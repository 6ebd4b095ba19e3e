"""HTTP/1.1 towards callers: a listener and its connections."""

import asyncio
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.httpconnection import (
    Connection,
    Handler,
    HttpLimits,
)

#: Connections that may wait to be accepted.
BACKLOG = 1024


class HttpServer:
    """Listens for callers and keeps their connections."""

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        limits: HttpLimits,
        on_malformed: Callable[[str], None],
    ) -> None:
        """Answer with ``handler``; ``limits`` may be changed at any time."""
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.on_malformed = on_malformed
        self.connections: set[Connection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    @property
    def requests_open(self) -> int:
        """Number of requests without a whole answer."""
        return sum(len(each.slots) for each in self.connections)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``; raise ``OSError`` when that fails."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
            backlog=BACKLOG,
        )

    def check_timeouts(self) -> None:
        """End connections that took too long; to be called regularly."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.check_timeout(now_ms)

    def stop_listening(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_gently(self) -> None:
        """Let each connection end with its next answer."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Close connections on which no request waits."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
