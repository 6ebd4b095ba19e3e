"""Reader of the requests on one connection: parsing and limits.

Bytes are parsed as they arrive. A request that could be read in two ways, or
exceeds a limit, is rejected with :class:`MalformedRequestError`.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

import httptools

from bergamotmount.forwarding.http import (
    HttpRequest,
    MalformedRequestError,
    header_of,
)

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

    def on_request(self, request: HttpRequest, closes: bool) -> None:
        """Handle a request; with ``closes`` it is the last."""


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
        self._reset_message()

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise MalformedRequestError if invalid."""
        was_in_head = self.phase is ReadPhase.HEAD
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
        if was_in_head and self.phase is ReadPhase.HEAD:
            self._received_head_bytes += len(received)
        size = max(self._head_bytes, self._received_head_bytes)
        if size > self._server.limits.max_header_bytes:
            raise MalformedRequestError(_HEADERS_TOO_LARGE, 'headers too large')

    def stop(self) -> None:
        """Accept nothing more."""
        self.is_done = True
        self.phase = ReadPhase.IDLE

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
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        if self.phase is ReadPhase.HEAD:
            header = name.decode('latin-1'), text.decode('latin-1')
            self._headers.append(header)
            self._head_bytes += len(name) + len(text)

    def on_headers_complete(self) -> None:
        """Check the headers before the body is parsed."""
        self._enter_phase(ReadPhase.BODY)
        length = self._check_headers()
        if length > self._server.limits.max_body_bytes:
            raise MalformedRequestError(_PAYLOAD_TOO_LARGE, 'body too large')
        if length > MAX_UNCHECKED_BYTES or self._is_chunked():
            self._check_before_body()

    def on_body(self, part: bytes) -> None:
        """Store the next part of the body."""
        self._body.append(part)
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.max_body_bytes:
            raise MalformedRequestError(_PAYLOAD_TOO_LARGE, 'body too large')

    def on_message_complete(self) -> None:
        """Pass the request on."""
        request = self._make_request()
        closes = not self._parser.should_keep_alive()
        self.is_done = closes
        self._reset_message()
        self._enter_phase(ReadPhase.IDLE)
        self._owner.on_request(request, closes)

    def _check_before_body(self) -> None:
        check = self._server.check_head
        status = None if check is None else check(self._make_request())
        if status is not None:
            raise MalformedRequestError(status, 'rejected by its headers')

    def _is_chunked(self) -> bool:
        return header_of(self._headers, 'Transfer-Encoding') is not None

    def _make_request(self) -> HttpRequest:
        return HttpRequest(
            self._parser.get_method().decode('latin-1'),
            self._target.decode('latin-1'),
            self._headers,
            b''.join(self._body),
        )

    def _reset_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._received_head_bytes = 0
        self.phase = ReadPhase.IDLE

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
        if self._head_bytes > self._server.limits.max_header_bytes:
            raise MalformedRequestError(_HEADERS_TOO_LARGE, 'headers too large')
        if hosts != 1 or not self._target.startswith(b'/'):
            raise MalformedRequestError(
                _BAD_REQUEST,
                'expected one Host header and a target that starts with /',
            )
        return length
