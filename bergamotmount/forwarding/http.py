"""HTTP requests and responses as data, and the headers that are forwarded.

Header names keep their case; :func:`header_of` ignores case. Bytes outside
ASCII are decoded and encoded as Latin-1, one character per byte.
"""

import asyncio
import dataclasses
import http
from collections.abc import Iterable

#: Headers of a single connection, and those that each hop sets itself.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

#: Statuses that callers take for "not run".
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

#: Size up to which a body is written in one piece with its head.
MAX_JOINED_BYTES = 64 * 1024

#: Methods whose requests have a Content-Length even if the body is empty.
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request; ``target`` is path and query as received."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete response.

    ``is_persistent`` tells whether the connection may be used again; it is
    false if the end of the connection ended the body. ``keep_alive_ms`` is
    the timeout in the Keep-Alive header, 0 without one.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b''
    is_persistent: bool = True
    keep_alive_ms: float = 0


class MalformedRequestError(Exception):
    """A malformed or unacceptable request.

    ``status`` is the HTTP status to answer with, ``reason`` is for the log.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Store the HTTP status to answer with and the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


def header_of(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, ``None`` if it is absent."""
    wanted = name.lower()
    for each, text in headers:
        if each.lower() == wanted:
            return text
    return None


def encode_header(text: str) -> str:
    """Return a text as in a header: its UTF-8 bytes, one per character."""
    return text.encode().decode('latin-1')


def forwarded_headers(
    headers: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> list[str]:
    """Return the headers to forward, names and values alternating.

    Left out are the headers in ``dropped``, which holds lower-case names,
    and those that the ``Connection`` header lists.
    """
    listed = _listed_in_connection(headers)
    flat: list[str] = []
    for name, text in headers:
        lowered = name.lower()
        if lowered not in dropped and lowered not in listed:
            flat.append(name)
            flat.append(text)
    return flat


def pack_request(
    method: str,
    target: str,
    flat_headers: list[str],
    body: bytes,
) -> bytes:
    """Encode a request with a body of known length."""
    return pack_request_head(method, target, flat_headers, len(body)) + body


def pack_request_head(
    method: str, target: str, flat_headers: list[str], body_bytes: int
) -> bytes:
    """Encode the head of a request whose body has this length."""
    lines = [f'{method} {target} HTTP/1.1']
    _append_header_lines(lines, flat_headers)
    if body_bytes or method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {body_bytes}')
    return _encode(lines)


def pack_response(
    status: int,
    flat_headers: list[str],
    body: bytes,
    closes: bool,
    is_head: bool = False,
) -> bytes:
    """Encode a response with a Content-Length.

    The body is left out with ``is_head``, for an answer to a HEAD request.
    """
    head = pack_response_head(status, flat_headers, len(body), closes)
    return head if is_head else head + body


def pack_response_head(
    status: int, flat_headers: list[str], body_bytes: int, closes: bool
) -> bytes:
    """Encode the head of a response whose body has this length."""
    lines = [f'HTTP/1.1 {status} {reason_phrase(status)}']
    _append_header_lines(lines, flat_headers)
    lines.append(f'Content-Length: {body_bytes}')
    if closes:
        lines.append('Connection: close')
    return _encode(lines)


def write_parts(
    transport: asyncio.WriteTransport, head: bytes, body: bytes
) -> None:
    """Write a message; a large body isn't copied to be one with its head."""
    if len(body) <= MAX_JOINED_BYTES:
        transport.write(head + body)
    else:
        transport.write(head)
        transport.write(body)


def reason_phrase(status: int) -> str:
    """Return the standard phrase of a status, empty if it is unknown."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ''


def _listed_in_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    listed: set[str] = set()
    for name, text in headers:
        if name.lower() == 'connection':
            listed.update(each.strip().lower() for each in text.split(','))
    return listed


def _append_header_lines(lines: list[str], flat_headers: list[str]) -> None:
    pairs = zip(flat_headers[::2], flat_headers[1::2], strict=True)
    lines.extend(f'{name}: {text}' for name, text in pairs)


def _encode(lines: list[str]) -> bytes:
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1')
