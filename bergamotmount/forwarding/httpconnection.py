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
from bergamotmount.forwarding.bufferedreader import BufferedReader
from bergamotmount.forwarding.connectionmemory import (
    ConnectionMemory,
    size_of_reply,
)
from bergamotmount.forwarding.http import (
    HttpRequest,
    MalformedRequestError,
    pack_response_head,
    write_parts,
)
from bergamotmount.forwarding.requestreader import (
    HttpLimits,
    ReadPhase,
    RequestReader,
)
from bergamotmount.forwarding.retrytimes import no_memory_headers
from bergamotmount.log import part_logger
from bergamotmount.memoryaccount import HoldingKind, MemoryAccount

#: Memory of requests without a reply, if they are more than one, at which a
#: connection stops reading.
MAX_WAITING_BYTES = 256 * 1024

#: Number of requests without a reply at which a connection stops reading.
MAX_PIPELINED_REQUESTS = 32

#: Number of unsent bytes above which a connection stops reading.
MAX_UNSENT_BYTES = 256 * 1024

#: Time for which bytes are still read after the last reply.
LINGER_MS = 1000

_log = part_logger('http')

_INTERNAL_ERROR = 500
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503
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
    account: MemoryAccount
    holding_kind: HoldingKind

    def admit(self, connection: 'Connection') -> bool:
        """Return whether a new connection may stay."""

    def on_no_memory(self) -> None:
        """Report a request that is refused for lack of memory."""

    def on_malformed(self, reason: str) -> None:
        """Report a request that is rejected without being handled."""


@dataclasses.dataclass(slots=True)
class _PipelinedRequest:
    """One request of a connection, and its reply once there is one.

    With ``closes`` the connection ends after the reply. ``held_bytes`` is the
    memory of the request, then of the reply.
    """

    closes: bool
    is_head: bool = False
    held_bytes: int = 0
    reply: HttpReply | None = None
    task: asyncio.Task | None = None


class Connection(BufferedReader):
    """One connection of a caller.

    ``pipeline`` holds the requests that have no reply yet, oldest first.
    ``timer_started_ms`` is when it became idle, or last received bytes.
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
        self.timer_started_ms = server.clock.now_ms()
        self._is_lingering = False
        self._is_reading_paused = False
        self._can_write = True
        self._memory = ConnectionMemory(
            server.account, server.holding_kind, self._shed
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or waits for its reply.

        Also none whose reply is still being sent: the caller reads it.
        """
        return not (
            self.pipeline
            or self.is_receiving
            or self._is_lingering
            or self._transport.get_write_buffer_size()
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a request has begun and not ended."""
        return self._reader.phase is not ReadPhase.IDLE

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection with its server."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        peer = transport.get_extra_info('peername')
        self._remote_address = RemoteAddress(peer[0] if peer else '')
        if self._server.admit(self):
            self._server.connections.add(self)
        else:
            transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel the requests of this caller."""
        self._server.connections.discard(self)
        self._memory.close()
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
        self._memory.move()
        if self._reader.phase is ReadPhase.BODY:
            self.restart_timer()
        try:
            self._reader.feed(received)
        except MalformedRequestError as error:
            self._reject(error)
        self._update_memory()

    def restart_timer(self) -> None:
        """Restart the timer by which timeouts are judged."""
        self.timer_started_ms = self._server.clock.now_ms()

    def send_continue(self) -> None:
        """Tell the caller that its body is awaited."""
        self._transport.write(_CONTINUE)

    def on_request(
        self, request: HttpRequest, closes: bool, held_bytes: int
    ) -> None:
        """Handle a request in a task of its own, or refuse it."""
        is_head = request.method == 'HEAD'
        pipelined = _PipelinedRequest(closes, is_head)
        self.pipeline.append(pipelined)
        # What was being received is now the request itself.
        self._update_memory()
        if not self._memory.admits(held_bytes):
            pipelined.reply = self._refuse_for_memory()
            self._flush()
            return
        pipelined.held_bytes = held_bytes
        self._memory.add_request(held_bytes)
        pipelined.task = asyncio.get_running_loop().create_task(
            self._handle(pipelined, request)
        )
        self._apply_backpressure()

    def check_timeout(self, now_ms: float) -> None:
        """End the connection if the caller has exceeded a timeout."""
        elapsed_ms = now_ms - self.timer_started_ms
        limits = self._server.limits
        unsent_bytes = self._transport.get_write_buffer_size()
        if self._memory.unread_ms(unsent_bytes) > limits.idle_timeout_ms:
            self.abort()
            return
        match self._reader.phase:
            case ReadPhase.HEAD if elapsed_ms > limits.header_timeout_ms:
                self._reject(_slow('headers'))
            case ReadPhase.BODY if elapsed_ms > limits.idle_timeout_ms:
                self._reject(_slow('body'))
            case ReadPhase.IDLE if self._is_lingering:
                if elapsed_ms > LINGER_MS:
                    self.close()
            case ReadPhase.IDLE if unsent_bytes:
                # Idle time begins when the caller has read its replies.
                self.restart_timer()
            case ReadPhase.IDLE if self.is_idle:
                if elapsed_ms > limits.idle_timeout_ms:
                    self.close()

    def answer_pending(self, status: int) -> None:
        """Cancel the requests without a reply and answer them like this."""
        for pipelined in self.pipeline:
            if pipelined.reply is None:
                pipelined.task.cancel()
                self._set_reply(pipelined, HttpReply(status))
        self._flush()

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately; unsent bytes are dropped."""
        self._reader.stop()
        self._cancel_pipeline()
        self._transport.abort()

    async def _handle(
        self, pipelined: _PipelinedRequest, request: HttpRequest
    ) -> None:
        try:
            reply = await self._server.handler(request, self._remote_address)
        except Exception:
            # Without a reply the caller would wait, and all behind it.
            _log.exception('Request failed.')
            reply = HttpReply(_INTERNAL_ERROR)
        pipelined.task = None
        self._set_reply(pipelined, reply)
        self._flush()

    def _set_reply(
        self, pipelined: _PipelinedRequest, reply: HttpReply
    ) -> None:
        reply_bytes = size_of_reply(reply.headers, reply.body)
        self._memory.replace_by_reply(pipelined.held_bytes, reply_bytes)
        pipelined.held_bytes = reply_bytes
        pipelined.reply = reply

    def _reject(self, error: MalformedRequestError) -> None:
        self._server.on_malformed(error.reason)
        self._end_with(HttpReply(error.status, closes=True))

    def _end_with(self, reply: HttpReply) -> None:
        """Send a last reply after those to earlier requests."""
        self._reader.stop()
        self.pipeline.append(_PipelinedRequest(closes=True, reply=reply))
        self._flush()

    def _refuse_for_memory(self, closes: bool = False) -> HttpReply:
        """Return the refusal of a request that has not been passed on."""
        self._server.on_no_memory()
        headers = no_memory_headers(self._server.account.refusals)
        return HttpReply(_UNAVAILABLE, headers, closes=closes)

    def _shed(self) -> None:
        """Give up a request that is being received, or unread replies."""
        if self._reader.held_bytes:
            self._end_with(self._refuse_for_memory(closes=True))
        else:
            self.abort()

    def _update_memory(self) -> None:
        self._memory.update(
            self._reader.held_bytes, self._transport.get_write_buffer_size()
        )

    def _flush(self) -> None:
        while self.pipeline and self._can_write:
            pipelined = self.pipeline[0]
            if pipelined.reply is None or self._transport.is_closing():
                break
            self.pipeline.popleft()
            self._memory.write_reply(pipelined.held_bytes)
            if self._write(pipelined, pipelined.reply):
                self._update_memory()
                return
        self._apply_backpressure()
        if self.is_idle:
            self.restart_timer()
        self._update_memory()

    def _write(self, pipelined: _PipelinedRequest, reply: HttpReply) -> bool:
        is_last = self._server.is_closing and not self.pipeline
        closes = reply.closes or pipelined.closes or is_last
        head = pack_response_head(
            reply.status, reply.headers, len(reply.body), closes
        )
        body = b'' if pipelined.is_head else reply.body
        write_parts(self._transport, head, body)
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
        self._memory.clear()

    @property
    def _is_pipeline_full(self) -> bool:
        is_large = self._memory.waiting_bytes > MAX_WAITING_BYTES
        # A single request is read on, so that its caller is seen to leave.
        return len(self.pipeline) >= MAX_PIPELINED_REQUESTS or (
            is_large and len(self.pipeline) > 1
        )

    def _apply_backpressure(self) -> None:
        is_full = self._is_pipeline_full or not self._can_write
        if is_full == self._is_reading_paused or self._reader.is_done:
            return
        self._is_reading_paused = is_full
        if is_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


def _slow(part: str) -> MalformedRequestError:
    return MalformedRequestError(
        _REQUEST_TIMEOUT, f'slow {part}: timeout exceeded'
    )
