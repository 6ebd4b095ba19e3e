"""Reader of the requests on one connection: parsing and limits.

Bytes are parsed as they arrive. A request that could be read in two ways, or
exceeds a limit, is rejected with :class:`MalformedRequestError`.
"""

import dataclasses
import enum
import io
from collections.abc import Callable
from typing import Protocol

import httptools

from bergamotmount.forwarding.headerlines import HeaderLineError, HeaderLines
from bergamotmount.forwarding.http import (
    HttpRequest,
    MalformedRequestError,
    header_of,
)
from bergamotmount.memoryaccount import REQUEST_BYTES

#: Length of a body above which the headers are checked before it is received.
MAX_UNCHECKED_BYTES = 64 * 1024

_BAD_REQUEST = 400
_PAYLOAD_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431


@dataclasses.dataclass(slots=True)
class HttpLimits:
    """Limits on the size of requests and on the time that callers take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class ReadPhase(enum.Enum):
    """What is being received."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'


class ReaderSettings(Protocol):
    """Limits of the server, and its check of headers, if it has one."""

    limits: HttpLimits
    check_head: Callable[[HttpRequest], int | None] | None


class ReaderOwner(Protocol):
    """The connection that a reader belongs to."""

    def restart_timer(self) -> None:
        """Restart the timer by which timeouts are judged."""

    def send_continue(self) -> None:
        """Tell the caller that its body is awaited."""

    def on_request(
        self, request: HttpRequest, closes: bool, held_bytes: int
    ) -> None:
        """Handle a request; with ``closes`` it is the last.

        It takes ``held_bytes`` of memory while it waits for its reply.
        """


class RequestReader:
    """Parses the requests of one connection.

    With ``is_done`` no further request is accepted.
    """

    def __init__(self, server: ReaderSettings, owner: ReaderOwner) -> None:
        """Pass requests to ``owner``."""
        self.is_done = False
        self._server = server
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._is_unparsed = False
        self._reset_message()

    @property
    def held_bytes(self) -> int:
        """Memory that the request being received takes."""
        return (
            len(self._target)
            + self._lines.wire_bytes
            + self._decoded_bytes
            + self._body_bytes
            + self._unparsed_bytes
        )

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise MalformedRequestError if invalid."""
        self._is_unparsed = True
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError(
                _BAD_REQUEST, 'protocol upgrade not supported'
            ) from error
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ from error
        except httptools.HttpParserError as error:
            if not self.is_done:
                raise MalformedRequestError(_BAD_REQUEST, str(error)) from error
        if self._is_unparsed and self.phase is not ReadPhase.IDLE:
            # The parser keeps the beginning of a line until its end.
            self._unparsed_bytes += len(received)
        self._check_head_size()

    def stop(self) -> None:
        """Accept nothing more."""
        self.is_done = True
        self._reset_message()

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.is_done:
            raise MalformedRequestError(
                _BAD_REQUEST, 'request after one that closes the connection'
            )
        self._reset_message()
        self._enter_phase(ReadPhase.HEAD)

    def on_url(self, url: bytes) -> None:
        """Store the next part of the target."""
        self._record_parsed()
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped, but count as headers."""
        self._record_parsed()
        if self.phase is not ReadPhase.HEAD:
            self._trailer_bytes += len(name) + len(text)
            return
        try:
            self._lines.add(name, text)
        except HeaderLineError as error:
            raise MalformedRequestError(_BAD_REQUEST, str(error)) from error

    def on_headers_complete(self) -> None:
        """Check the headers before the body is parsed."""
        self._record_parsed()
        self._check_head_size()
        self._headers = self._lines.decode()
        self._decoded_bytes = self._lines.decoded_bytes
        self._lines = HeaderLines()
        self._enter_phase(ReadPhase.BODY)
        length = self._check_headers()
        if length > self._server.limits.max_body_bytes:
            raise MalformedRequestError(_PAYLOAD_TOO_LARGE, 'body too large')
        if length > MAX_UNCHECKED_BYTES or self._is_chunked():
            self._check_before_body()

    def on_body(self, part: bytes) -> None:
        """Store the next part of the body."""
        self._record_parsed()
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise MalformedRequestError(_PAYLOAD_TOO_LARGE, 'body too large')
        if self._body is None:
            self._body = io.BytesIO()
        self._body.write(part)

    def on_message_complete(self) -> None:
        """Pass the request on."""
        body = b'' if self._body is None else self._body.getvalue()
        request = self._make_request(body)
        held_bytes = REQUEST_BYTES + self._decoded_bytes + self._body_bytes
        closes = not self._parser.should_keep_alive()
        self.is_done = closes
        self._reset_message()
        self._enter_phase(ReadPhase.IDLE)
        self._owner.on_request(request, closes, held_bytes)

    def _check_before_body(self) -> None:
        check = self._server.check_head
        status = None if check is None else check(self._make_request(b''))
        if status is not None:
            raise MalformedRequestError(status, 'rejected by its headers')

    def _is_chunked(self) -> bool:
        return header_of(self._headers, 'Transfer-Encoding') is not None

    def _make_request(self, body: bytes) -> HttpRequest:
        return HttpRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            body,
        )

    def _reset_message(self) -> None:
        self._target = b''
        self._lines = HeaderLines()
        self._headers: list[tuple[str, str]] = []
        self._decoded_bytes = 0
        self._trailer_bytes = 0
        self._unparsed_bytes = 0
        self._body: io.BytesIO | None = None
        self._body_bytes = 0
        self.phase = ReadPhase.IDLE

    def _record_parsed(self) -> None:
        self._is_unparsed = False
        self._unparsed_bytes = 0

    def _check_head_size(self) -> None:
        """Reject a head, or a chunk's head and trailers, beyond the limit.

        Counted is what has surely come: a request sent ahead of an answer
        isn't charged with bytes of the one before it.
        """
        size = (
            len(self._target)
            + self._lines.wire_bytes
            + self._trailer_bytes
            + self._unparsed_bytes
        )
        if size > self._server.limits.max_header_bytes:
            raise MalformedRequestError(_HEADERS_TOO_LARGE, 'headers too large')

    def _enter_phase(self, phase: ReadPhase) -> None:
        self.phase = phase
        self._owner.restart_timer()

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
                    self._owner.send_continue()
        if hosts != 1 or not self._target.startswith(b'/'):
            raise MalformedRequestError(
                _BAD_REQUEST,
                'expected one Host header and a target that starts with /',
            )
        return length
