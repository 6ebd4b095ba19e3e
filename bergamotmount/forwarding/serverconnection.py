"""HTTP/1.1 connection to a server, as a client.

A connection carries one request at a time. It isn't reused after it has
received anything that doesn't belong to its current request.
"""

import asyncio
import dataclasses
import io
import re
from collections.abc import Callable

import httptools

from bergamotmount.clock import Clock
from bergamotmount.forwarding.headerlines import HeaderLineError, HeaderLines
from bergamotmount.forwarding.http import HttpResponse, header_of, write_parts
from bergamotmount.forwarding.responsebuffer import ResponseBuffer
from bergamotmount.forwarding.tcpkeepalive import enable_tcp_keep_alive
from bergamotmount.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryAccount,
)

#: Maximum size of a response body, and by how much everything else, such as
#: heads, interim responses and chunk sizes, may exceed it.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_OVERHEAD_BYTES = 256 * 1024

#: Size of a read after which the next one waits for an iteration of the event
#: loop, so that memory that was given up meanwhile is free by then.
LARGE_READ_BYTES = 128 * 1024

#: Idle time after which a connection is closed.
IDLE_TIMEOUT_MS = 4000

#: Share of a server's Keep-Alive timeout within which its connection is
#: reused.
KEEP_ALIVE_SHARE = 0.5

#: Number of refused requests after which a connection isn't reused, so that it
#: needn't remember more of them.
MAX_REFUSED_REQUESTS = 64

#: Headers that tell how a body ends.
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))

#: Minimum status of a response, and of a final one; those between are interim.
_MIN_STATUS = 100
_FINAL_STATUS = 200

#: Beginning of a response within another one's head: that was cut, and the
#: next one followed it.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [0-9]{3}(?: |$)')

_MS_PER_SECOND = 1000


class BrokenExchangeError(Exception):
    """The exchange failed before the response was complete.

    The connection ended, or the response was invalid or too large.
    ``response_started`` tells whether any byte of a response was received,
    ``was_reused`` whether the connection had carried an earlier request.
    """

    def __init__(
        self, reason: str, response_started: bool, was_reused: bool
    ) -> None:
        """Store why the exchange failed, and in which state."""
        super().__init__(reason)
        self.reason = reason
        self.response_started = response_started
        self.was_reused = was_reused


#: Tells whether a response belongs to the current request.
ResponseMatcher = Callable[[HttpResponse], bool]


@dataclasses.dataclass(slots=True)
class _Exchange:
    """The current request of a connection, and its pending response."""

    response: 'asyncio.Future[HttpResponse]'
    matches: ResponseMatcher
    is_head: bool
    response_started: bool = False


class ServerConnection(asyncio.Protocol):
    """One connection to a server.

    ``number`` tells it from the other connections of its pool, in logs.
    ``requests`` counts the requests sent on it. While it is idle, it may be
    reused until ``idle_until_ms``.
    """

    def __init__(
        self, clock: Clock, buffer: ResponseBuffer | None = None
    ) -> None:
        """Start unconnected; share ``buffer`` with other connections."""
        self._buffer = buffer or ResponseBuffer()
        account = self._buffer.account or MemoryAccount(clock)
        self._holding = account.open(HoldingKind.SERVER, self._shed)
        self._body_bytes = 0
        self._complete_bytes = 0
        self._overhead_bytes = 0
        self.is_usable = True
        self.idle_until_ms: float = 0
        self.idle_since_ms: float = 0
        self.number = 0
        self.requests = 0
        self._refused_ids: set[str] = set()
        self._clock = clock
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: _Exchange | None = None
        self._ends_at_close = False
        self._reset_message()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and enable TCP keep-alive on it."""
        self._transport = transport
        enable_tcp_keep_alive(transport.get_extra_info('socket'))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the current request."""
        self.is_usable = False
        self._fail(f'connection ended: {error}')
        self._reset_message()
        self._holding.close()

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection; else fail."""
        self.is_usable = False
        if self._ends_at_close and self._in_message:
            self._complete(has_length=False)
        self._fail('connection closed')
        return False

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; close if no request is waiting for them."""
        exchange = self._exchange
        if exchange is None:
            self.close()
            return
        exchange.response_started = True
        # Parts of a body are taken off again when they are parsed.
        self._overhead_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_usable = False
            self._fail('invalid HTTP response')
        if self._overhead_bytes > MAX_OVERHEAD_BYTES + self._body_bytes:
            self._fail('response head without end')
        is_failed = exchange.response.done() and self._exchange is exchange
        if is_failed or not (self.is_usable or self._exchange):
            self.close()
        self._holding.move()
        self._update_holding()
        if len(received) >= LARGE_READ_BYTES:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)

    def on_message_begin(self) -> None:
        """Start a response; an unexpected one prevents further reuse."""
        if self._exchange is None:
            self.is_usable = False
        self._reset_message()
        self._in_message = True

    def on_status(self, phrase: bytes) -> None:
        """Fail if the status line holds another one."""
        self._check_for_status_line(phrase)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        self._check_for_status_line(text)
        if not self._in_head:
            return
        self._has_framing |= name.lower() in _FRAMING_HEADERS
        try:
            self._lines.add(name, text)
        except HeaderLineError as error:
            self._fail(str(error))

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        self._in_head = False
        self._ends_at_close = not self._has_framing
        if self._parser.get_status_code() < _MIN_STATUS:
            self._fail('no HTTP status')
            return
        if self._exchange is not None and self._exchange.is_head:
            self.is_usable = False
            self._complete(has_length=True)

    def on_body(self, part: bytes) -> None:
        """Store the next part of the body."""
        size = len(part)
        self._body_bytes += size
        self._overhead_bytes -= size
        has_room = self._buffer.reserve(size)
        if has_room and self._body_bytes <= MAX_RESPONSE_BYTES:
            if self._body is None:
                self._body = io.BytesIO()
            self._body.write(part)
        else:
            self._fail('response too large')

    def on_message_complete(self) -> None:
        """Complete the response."""
        self._complete(has_length=True)

    async def exchange(
        self,
        packed: bytes,
        matches: ResponseMatcher,
        is_head: bool = False,
        body: bytes = b'',
    ) -> HttpResponse:
        """Send a request and return its response.

        ``body`` follows the bytes in ``packed``. Responses that don't match
        are dropped. Raise :class:`BrokenExchangeError` if the exchange fails
        before the response is complete. Cancelling it closes the connection,
        so that the server stops working on the request.
        """
        pending = asyncio.get_running_loop().create_future()
        self._exchange = _Exchange(pending, matches, is_head)
        self.requests += 1
        self._overhead_bytes = 0
        write_parts(self._transport, packed, body)
        try:
            return await pending
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._end_exchange()

    def record_refusal(self, request_id: str) -> None:
        """Record that the server refused a request without running it.

        The request may be sent again, but not on this connection: a second
        copy of the refusal, late, would pass for the answer.
        """
        self._refused_ids.add(request_id)
        if len(self._refused_ids) >= MAX_REFUSED_REQUESTS:
            self.is_usable = False

    def may_carry(self, request_id: str) -> bool:
        """Return whether no refusal of this request came on it before."""
        return request_id not in self._refused_ids

    def close(self) -> None:
        """Close immediately; unsent bytes are dropped."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def _reset_message(self) -> None:
        self._buffer.release(self._body_bytes)
        self._lines = HeaderLines()
        self._has_framing = False
        self._body: io.BytesIO | None = None
        self._body_bytes = 0
        self._in_head = True
        self._in_message = False
        self._ends_at_close = False

    def _complete(self, has_length: bool) -> None:
        status = self._parser.get_status_code()
        self._in_message = False
        body = b'' if self._body is None else self._body.getvalue()
        self._body = None
        self._buffer.release(self._body_bytes)
        self._body_bytes = 0
        if status < _FINAL_STATUS:
            return
        exchange = self._exchange
        if exchange is None or exchange.response.done():
            self.is_usable = False
            return
        headers = self._lines.decode()
        headers_bytes = self._lines.decoded_bytes
        self._lines = HeaderLines()
        response = HttpResponse(
            status,
            headers,
            body,
            has_length and self._parser.should_keep_alive(),
            _keep_alive_ms(headers),
        )
        if not exchange.matches(response):
            # It answers an earlier request; the expected one is yet to come.
            self.is_usable = False
            return
        if not response.is_persistent:
            self.is_usable = False
        self._start_idle(response.keep_alive_ms)
        self._complete_bytes = len(body) + headers_bytes
        exchange.response.set_result(response)
        self._exchange = None

    def _check_for_status_line(self, text: bytes) -> None:
        if _STATUS_LINE.search(text) is not None:
            self.is_usable = False
            self._fail('response within the head of another one')

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _end_exchange(self) -> None:
        self._exchange = None
        self._complete_bytes = 0
        self._update_holding()

    def _shed(self) -> None:
        """Give up the response that is being received."""
        self._fail('no memory for the response')
        self.close()

    def _update_holding(self) -> None:
        """Report what is held; a complete response until it is taken."""
        received_bytes = self._body_bytes + self._lines.wire_bytes
        self._holding.update(
            CONNECTION_BYTES + received_bytes + self._complete_bytes,
            received_bytes,
        )

    def _start_idle(self, keep_alive_ms: float) -> None:
        idle_ms: float = IDLE_TIMEOUT_MS
        if keep_alive_ms:
            idle_ms = min(idle_ms, keep_alive_ms * KEEP_ALIVE_SHARE)
        self.idle_since_ms = self._clock.now_ms()
        self.idle_until_ms = self.idle_since_ms + idle_ms

    def _fail(self, reason: str) -> None:
        exchange = self._exchange
        if exchange is None or exchange.response.done():
            return
        was_reused = self.requests > 1
        error = BrokenExchangeError(
            reason, exchange.response_started, was_reused
        )
        exchange.response.set_exception(error)


def _keep_alive_ms(headers: list[tuple[str, str]]) -> float:
    text = header_of(headers, 'Keep-Alive')
    if text is None:
        return 0
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return int(seconds) * _MS_PER_SECOND
    return 0
