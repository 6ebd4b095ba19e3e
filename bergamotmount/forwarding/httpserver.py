"""HTTP/1.1 server: a listener and its connections."""

import asyncio
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    Connection,
    Handler,
    HttpLimits,
)

#: Maximum number of connections that wait to be accepted.
BACKLOG = 1024


#: Returns the status to reject a request with, by its headers only.
HeadCheck = Callable[[HttpRequest], int | None]


class HttpServer:
    """Listens for callers and tracks their connections."""

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        limits: HttpLimits,
        on_malformed: Callable[[str], None],
        check_head: HeadCheck | None = None,
    ) -> None:
        """Pass requests to ``handler`` once the server is started.

        ``limits`` may be replaced at any time. ``on_malformed`` is called
        with the reason for which a request is rejected. ``check_head`` may
        reject a request with a large body before that is received.
        """
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.on_malformed = on_malformed
        self.check_head = check_head
        self.connections: set[Connection] = set()
        self.is_closing = False
        self._server: asyncio.Server | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or waits for its reply.

        Also whether a caller may still be reading its last reply.
        """
        return not all(each.is_idle for each in self.connections)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``; raise ``OSError`` if that fails."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
            backlog=BACKLOG,
        )

    def check_timeouts(self) -> None:
        """End connections that exceeded a timeout; call regularly."""
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.check_timeout(now_ms)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def disable_keep_alive(self) -> None:
        """Close each connection once all its requests have replies."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Close connections without a pending request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def answer_pending(self, status: int) -> None:
        """Give up the requests without a reply and answer them like this."""
        for connection in list(self.connections):
            connection.answer_pending(status)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
