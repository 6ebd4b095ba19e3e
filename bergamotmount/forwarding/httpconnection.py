"""Server side of one HTTP/1.1 connection: framing, pipelining, limits.

Requests are parsed incrementally, and each is handled in a task of its own.
Replies are sent in the order of the requests. When a caller closes its
connection, its requests that are still being handled are cancelled.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import (
    HttpRequest,
    MalformedRequestError,
    pack_response,
)
from bergamotmount.forwarding.requestreader import (
    HttpLimits,
    ReadPhase,
    RequestReader,
)
from bergamotmount.log import part_logger

#: Number of requests without a reply at which a connection stops reading.
MAX_PIPELINED_REQUESTS = 32

#: Number of unsent bytes above which a connection stops reading.
MAX_UNSENT_BYTES = 256 * 1024

#: Time for which bytes are still read after the last reply.
LINGER_MS = 1000

_log = part_logger('http')

_INTERNAL_ERROR = 500
_REQUEST_TIMEOUT = 408
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(slots=True)
class HttpReply:
    """Reply of a handler; with ``closes`` it is the connection's last.

    ``headers`` are names and values, alternating.
    """

    status: int
    headers: list[str] = dataclasses.field(default_factory=list)
    body: bytes = b''
    closes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteAddress:
    """Where a request came from: the IP address of its sender."""

    ip: str


#: Handles a request. It is cancelled when the caller disconnects.
Handler = Callable[[HttpRequest, RemoteAddress], Awaitable[HttpReply]]


class ConnectionOwner(Protocol):
    """The server that accepted a connection, as the connection sees it."""

    clock: Clock
    handler: Handler
    limits: HttpLimits
    connections: set['Connection']
    is_closing: bool
    check_head: Callable[[HttpRequest], int | None] | None

    def on_malformed(self, reason: str) -> None:
        """Report a request that is rejected without being handled."""


@dataclasses.dataclass(slots=True)
class _PipelinedRequest:
    """One request of a connection, and its reply once there is one.

    ``request`` is ``None`` if it was rejected. With ``closes`` the
    connection ends after the reply.
    """

    request: HttpRequest | None
    closes: bool
    reply: HttpReply | None = None
    task: asyncio.Task | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller.

    ``pipeline`` holds the requests that have no reply yet, oldest first.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        """Start unconnected, as a connection that ``server`` accepts."""
        self.pipeline: collections.deque[_PipelinedRequest] = (
            collections.deque()
        )
        self._server = server
        self._reader = RequestReader(server, self)
        self._transport: asyncio.Transport | None = None
        self._remote_address = RemoteAddress('')
        self._timer_started_ms = server.clock.now_ms()
        self._is_lingering = False
        self._is_reading_paused = False
        self._can_write = True

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or waits for its reply."""
        is_receiving = self._reader.phase is not ReadPhase.IDLE
        return not (self.pipeline or is_receiving or self._is_lingering)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection with its server."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        peer = transport.get_extra_info('peername')
        self._remote_address = RemoteAddress(peer[0] if peer else '')
        self._server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the requests of this caller."""
        self._server.connections.discard(self)
        self._reader.stop()
        self._cancel_pipeline()

    def pause_writing(self) -> None:
        """Hold replies back while the caller reads slowly."""
        self._can_write = False
        self._apply_backpressure()

    def resume_writing(self) -> None:
        """Send the replies that were held back."""
        self._can_write = True
        self._flush()

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; a malformed request ends the connection."""
        if self._reader.is_done:
            return
        if self._reader.phase is ReadPhase.BODY:
            self.restart_timer()
        try:
            self._reader.feed(received)
        except MalformedRequestError as error:
            self._reject(error)

    def restart_timer(self) -> None:
        """Restart the timer by which timeouts are judged."""
        self._timer_started_ms = self._server.clock.now_ms()

    def send_continue(self) -> None:
        """Tell the caller that its body is awaited."""
        self._transport.write(_CONTINUE)

    def on_request(self, request: HttpRequest, closes: bool) -> None:
        """Handle a request in a task of its own."""
        pipelined = _PipelinedRequest(request, closes)
        self.pipeline.append(pipelined)
        pipelined.task = asyncio.get_running_loop().create_task(
            self._handle(pipelined)
        )
        self._apply_backpressure()

    def check_timeout(self, now_ms: float) -> None:
        """End the connection if the caller has exceeded a timeout."""
        elapsed_ms = now_ms - self._timer_started_ms
        limits = self._server.limits
        match self._reader.phase:
            case ReadPhase.HEAD if elapsed_ms > limits.header_timeout_ms:
                self._reject_slow('headers')
            case ReadPhase.BODY if elapsed_ms > limits.idle_timeout_ms:
                self._reject_slow('body')
            case ReadPhase.IDLE if self._is_lingering:
                if elapsed_ms > LINGER_MS:
                    self.close()
            case ReadPhase.IDLE if self.is_idle:
                if elapsed_ms > limits.idle_timeout_ms:
                    self.close()

    def answer_pending(self, status: int) -> None:
        """Cancel the requests without a reply and answer them like this."""
        for pipelined in self.pipeline:
            if pipelined.reply is None:
                pipelined.task.cancel()
                pipelined.reply = HttpReply(status)
        self._flush()

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    async def _handle(self, pipelined: _PipelinedRequest) -> None:
        try:
            pipelined.reply = await self._server.handler(
                pipelined.request, self._remote_address
            )
        except Exception:
            # Without a reply the caller would wait, and all behind it.
            _log.exception('Request failed.')
            pipelined.reply = HttpReply(_INTERNAL_ERROR)
        pipelined.task = None
        self._flush()

    def _reject_slow(self, part: str) -> None:
        self._reject(
            MalformedRequestError(
                _REQUEST_TIMEOUT, f'slow {part}: timeout exceeded'
            )
        )

    def _reject(self, error: MalformedRequestError) -> None:
        self._server.on_malformed(error.reason)
        self._reader.stop()
        reply = HttpReply(error.status, closes=True)
        self.pipeline.append(_PipelinedRequest(None, closes=True, reply=reply))
        self._flush()

    def _flush(self) -> None:
        while self.pipeline and self._can_write:
            pipelined = self.pipeline[0]
            if pipelined.reply is None or self._transport.is_closing():
                break
            self.pipeline.popleft()
            if self._write(pipelined, pipelined.reply):
                return
        self._apply_backpressure()
        if self.is_idle:
            self.restart_timer()

    def _write(self, pipelined: _PipelinedRequest, reply: HttpReply) -> bool:
        is_last = self._server.is_closing and not self.pipeline
        closes = reply.closes or pipelined.closes or is_last
        request = pipelined.request
        is_head = request is not None and request.method == 'HEAD'
        packed = pack_response(
            reply.status,
            reply.headers,
            reply.body,
            closes,
            is_head,
        )
        self._transport.write(packed)
        if closes:
            self._half_close()
        return closes

    def _half_close(self) -> None:
        self._reader.stop()
        self._cancel_pipeline()
        self._is_lingering = True
        self.restart_timer()
        if self._transport.can_write_eof():
            # Closing with unread bytes would reset the connection, and with
            # it the reply just written.
            self._transport.write_eof()
            self._transport.resume_reading()
        else:
            self._transport.close()

    def _cancel_pipeline(self) -> None:
        for pipelined in self.pipeline:
            if pipelined.task is not None:
                pipelined.task.cancel()
        self.pipeline.clear()

    def _apply_backpressure(self) -> None:
        is_full = (
            len(self.pipeline) >= MAX_PIPELINED_REQUESTS or not self._can_write
        )
        if is_full == self._is_reading_paused or self._reader.is_done:
            return
        self._is_reading_paused = is_full
        if is_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
