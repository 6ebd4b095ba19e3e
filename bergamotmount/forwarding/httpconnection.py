"""One connection of a caller: framing, order of answers, limits.

Requests are parsed as their bytes come, and each runs in a task of its own.
The answers go out in the order of the requests. A caller that closes its
connection cancels what still runs for it.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Awaitable, Callable
from typing import Protocol

import httptools

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import (
    HttpRequest,
    MalformedError,
    pack_response,
)

#: Requests of one connection that may run or wait at the same time.
MAX_PIPELINED = 32

#: Bytes unsent to a slow caller above which its next requests must wait.
MAX_UNSENT_BYTES = 256 * 1024

#: Time in which bytes are still read after a response that closes.
LINGER_MS = 1000

_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_PAYLOAD_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(slots=True)
class HttpLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


@dataclasses.dataclass(slots=True)
class Reply:
    """What a handler answers; ``closes`` ends the connection after it."""

    status: int
    headers: list[str] = dataclasses.field(default_factory=list)
    body: bytes = b''
    closes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a request came from: the IP number of its sender."""

    ip: str


#: Answers a request. It is cancelled when the caller has gone.
Handler = Callable[[HttpRequest, Origin], Awaitable[Reply]]


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it."""

    clock: Clock
    handler: Handler
    limits: HttpLimits
    connections: set['Connection']
    is_closing: bool

    def on_malformed(self, reason: str) -> None:
        """Take note of a request that is refused unread."""


@dataclasses.dataclass(slots=True)
class _Slot:
    """Place of one request in the order of answers."""

    request: HttpRequest | None
    closes: bool
    reply: Reply | None = None
    task: asyncio.Task | None = None


class _Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    LINGER = 'linger'


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        """Belong to ``server``."""
        self.slots: collections.deque[_Slot] = collections.deque()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._origin = Origin('')
        self._since_ms = server.clock.now_ms()
        self._is_last = False
        self._is_paused = False
        self._can_write = True
        self._start_message()

    @property
    def is_idle(self) -> bool:
        """Whether nothing was received that still needs an answer."""
        return not self.slots and self._phase is _Phase.IDLE

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start with a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        peer = transport.get_extra_info('peername')
        self._origin = Origin(peer[0] if peer else '')
        self._server.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Cancel what runs for this caller."""
        self._server.connections.discard(self)
        self._is_last = True
        self._cancel_slots()

    def pause_writing(self) -> None:
        """Hold answers back while the caller reads slowly."""
        self._can_write = False
        self._throttle()

    def resume_writing(self) -> None:
        """Send the answers that waited."""
        self._can_write = True
        self._flush()

    def data_received(self, received: bytes) -> None:
        """Parse what came; a malformed request ends the connection."""
        if self._is_last:
            return
        if self._phase is _Phase.BODY:
            self._since_ms = self._server.clock.now_ms()
        try:
            self._feed(received)
        except MalformedError as error:
            self._reject(error)

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._is_last:
            raise MalformedError(_BAD_REQUEST, 'request after the last one')
        self._start_message()
        self._enter(_Phase.HEAD)

    def on_url(self, url: bytes) -> None:
        """Take the next part of the target."""
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self._phase is _Phase.HEAD:
            header = name.decode('latin-1'), text.decode('latin-1')
            self._headers.append(header)
            self._head_bytes += len(name) + len(text)

    def on_headers_complete(self) -> None:
        """Check the head before any byte of the body."""
        self._enter(_Phase.BODY)
        length = self._check_headers()
        if length > self._server.limits.max_body_bytes:
            raise MalformedError(_PAYLOAD_TOO_LARGE, 'body too large')

    def on_body(self, part: bytes) -> None:
        """Take the next part of the body."""
        self._body.append(part)
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise MalformedError(_PAYLOAD_TOO_LARGE, 'body too large')

    def on_message_complete(self) -> None:
        """Run the request in a task of its own."""
        request = HttpRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            b''.join(self._body),
        )
        closes = not self._parser.should_keep_alive()
        slot = _Slot(request, closes)
        self.slots.append(slot)
        self._is_last = closes
        self._start_message()
        self._enter(_Phase.IDLE)
        slot.task = asyncio.get_running_loop().create_task(self._run(slot))
        self._throttle()

    def check_timeout(self, now_ms: float) -> None:
        """End the connection when the caller has taken too long."""
        elapsed_ms = now_ms - self._since_ms
        limits = self._server.limits
        match self._phase:
            case _Phase.HEAD if elapsed_ms > limits.header_timeout_ms:
                self._reject(MalformedError(_REQUEST_TIMEOUT, 'slow headers'))
            case _Phase.BODY if elapsed_ms > limits.idle_timeout_ms:
                self._reject(MalformedError(_REQUEST_TIMEOUT, 'slow body'))
            case _Phase.LINGER if elapsed_ms > LINGER_MS:
                self.close()
            case _Phase.IDLE if elapsed_ms > limits.idle_timeout_ms:
                if self.is_idle:
                    self.close()

    def close(self) -> None:
        """Close after what is written has gone out."""
        if self._transport is not None:
            self._transport.close()

    def _start_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._phase = _Phase.IDLE

    def _enter(self, phase: _Phase) -> None:
        self._phase = phase
        self._since_ms = self._server.clock.now_ms()

    def _feed(self, received: bytes) -> None:
        was_in_head = self._phase is _Phase.HEAD
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise MalformedError(_BAD_REQUEST, 'upgrade') from error
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ from error
        except httptools.HttpParserError as error:
            if not self._is_last:
                raise MalformedError(_BAD_REQUEST, str(error)) from error
        if was_in_head and self._phase is _Phase.HEAD:
            self._unparsed_bytes += len(received)
        size = max(self._head_bytes, self._unparsed_bytes)
        if size > self._server.limits.max_header_bytes:
            raise MalformedError(_HEADERS_TOO_LARGE, 'headers too large')

    def _check_headers(self) -> int:
        length = 0
        hosts = 0
        for name, text in self._headers:
            match name.lower():
                case 'host':
                    hosts += 1
                case 'content-length':
                    length = int(text)
                case 'expect' if text.lower() == '100-continue':
                    self._transport.write(_CONTINUE)
        if self._head_bytes > self._server.limits.max_header_bytes:
            raise MalformedError(_HEADERS_TOO_LARGE, 'headers too large')
        if hosts != 1 or not self._target.startswith(b'/'):
            raise MalformedError(_BAD_REQUEST, 'no single Host, or no path')
        return length

    async def _run(self, slot: _Slot) -> None:
        slot.reply = await self._server.handler(slot.request, self._origin)
        slot.task = None
        self._flush()

    def _reject(self, error: MalformedError) -> None:
        self._server.on_malformed(error.reason)
        self._is_last = True
        self._phase = _Phase.IDLE
        reply = Reply(error.status, closes=True)
        self.slots.append(_Slot(None, closes=True, reply=reply))
        self._flush()

    def _flush(self) -> None:
        while self.slots and self._can_write:
            slot = self.slots[0]
            if slot.reply is None or self._transport.is_closing():
                break
            self.slots.popleft()
            if self._write(slot, slot.reply):
                return
        self._throttle()
        if self.is_idle:
            self._since_ms = self._server.clock.now_ms()

    def _write(self, slot: _Slot, reply: Reply) -> bool:
        closes = reply.closes or slot.closes or self._server.is_closing
        request = slot.request
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
            self._end()
        return closes

    def _end(self) -> None:
        self._is_last = True
        self._cancel_slots()
        self._enter(_Phase.LINGER)
        if self._transport.can_write_eof():
            # Closing with unread bytes would reset the answer just written.
            self._transport.write_eof()
            self._transport.resume_reading()
        else:
            self._transport.close()

    def _cancel_slots(self) -> None:
        for slot in self.slots:
            if slot.task is not None:
                slot.task.cancel()
        self.slots.clear()

    def _throttle(self) -> None:
        is_full = len(self.slots) >= MAX_PIPELINED or not self._can_write
        if is_full == self._is_paused or self._is_last:
            return
        self._is_paused = is_full
        if is_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
