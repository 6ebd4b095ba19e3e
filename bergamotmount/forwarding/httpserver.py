"""HTTP/1.1 server: a listener and its connections."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    Connection,
    Handler,
    HttpLimits,
)
from bergamotmount.memoryaccount import HoldingKind, MemoryAccount
from bergamotmount.reasons import DropReason

#: Maximum number of connections that wait to be accepted.
BACKLOG = 1024


def _ignore_overload(_reason: DropReason) -> None:
    """Ignore why a connection is closed."""


#: Returns the status to reject a request with, by its headers only.
HeadCheck = Callable[[HttpRequest], int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerBounds:
    """What the connections of a server may hold.

    ``on_overload`` is called with the reason for which one is closed or
    refused.
    """

    account: MemoryAccount
    holding_kind: HoldingKind = HoldingKind.CALLER
    max_connections: float = math.inf
    on_overload: Callable[[DropReason], None] = _ignore_overload


class HttpServer:
    """Listens for callers and tracks their connections."""

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        limits: HttpLimits,
        on_malformed: Callable[[str], None],
        check_head: HeadCheck | None = None,
        bounds: ServerBounds | None = None,
    ) -> None:
        """Pass requests to ``handler`` once the server is started.

        ``limits`` may be replaced at any time. ``on_malformed`` is called
        with the reason for which a request is rejected. ``check_head`` may
        reject a request with a large body before that is received. Without
        ``bounds`` connections and their memory are counted and not bounded.
        """
        bounds = bounds or ServerBounds(MemoryAccount(clock))
        self.account = bounds.account
        self.holding_kind = bounds.holding_kind
        self._bounds = bounds
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

    def admit(self, connection: Connection) -> bool:
        """Return whether a new connection may stay; see ``ServerBounds``.

        Where there are too many, the one ends that does least: an idle one,
        else one whose request has not come further for longest.
        """
        if len(self.connections) < self._bounds.max_connections:
            return True
        self._bounds.on_overload(DropReason.TOO_MANY_CONNECTIONS)
        candidates = [
            each
            for each in self.connections
            if not each.pipeline and (each.is_idle or each.is_receiving)
        ]
        if not candidates:
            return False
        least_active = min(
            candidates,
            key=lambda each: (not each.is_idle, each.timer_started_ms),
        )
        self.connections.discard(least_active)
        # A caller that doesn't read could keep it open, were it closed softly.
        least_active.abort()
        return True

    def on_no_memory(self) -> None:
        """Count a request that is refused for lack of memory."""
        self.account.refusals += 1
        self._bounds.on_overload(DropReason.NO_MEMORY)

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
