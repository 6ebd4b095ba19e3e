"""HTTP requests and responses as data, and which headers pass through.

Header names keep the case in which they came; :func:`header_of` compares
without case. Bytes outside ASCII travel as Latin-1, one character a byte.
"""

import dataclasses
import http
from collections.abc import Iterable

#: Headers that concern one connection, or that each side sets itself.
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

#: Methods whose requests carry a length even without a body.
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A whole request; ``target`` is path and query as they were sent."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A whole response.

    ``has_length`` is false for a body that ended with its connection;
    ``keeps_open`` tells whether the connection may be used again, and
    ``keep_alive_ms`` how long the sender keeps it idle, 0 if unsaid.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b''
    keeps_open: bool = True
    keep_alive_ms: float = 0


class MalformedError(Exception):
    """Bytes that are no acceptable request; ``status`` tells the sender."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the HTTP status to answer with and a reason for the log."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


def header_of(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, ``None`` when it isn't there."""
    wanted = name.lower()
    for found, text in headers:
        if found.lower() == wanted:
            return text
    return None


def flat_without(
    headers: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> list[str]:
    """Return names and values, alternating, of the headers to pass on.

    ``dropped`` holds names in lower case. What the ``Connection`` header
    names is dropped too.
    """
    named = _named_by_connection(headers)
    flat: list[str] = []
    for name, text in headers:
        lowered = name.lower()
        if lowered not in dropped and lowered not in named:
            flat.append(name)
            flat.append(text)
    return flat


def pack_request(
    method: str,
    target: str,
    flat_headers: list[str],
    body: bytes,
) -> bytes:
    """Return the bytes of a request whose body has a length."""
    lines = [f'{method} {target} HTTP/1.1']
    _extend_lines(lines, flat_headers)
    if body or method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {len(body)}')
    return _join(lines, body)


def pack_response(
    status: int,
    flat_headers: list[str],
    body: bytes,
    closes: bool,
    is_head: bool = False,
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {reason_phrase(status)}']
    _extend_lines(lines, flat_headers)
    lines.append(f'Content-Length: {len(body)}')
    if closes:
        lines.append('Connection: close')
    return _join(lines, b'' if is_head else body)


def reason_phrase(status: int) -> str:
    """Return the standard phrase of a status, empty for an unknown one."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ''


def _named_by_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    named: set[str] = set()
    for name, text in headers:
        if name.lower() == 'connection':
            named.update(each.strip().lower() for each in text.split(','))
    return named


def _extend_lines(lines: list[str], flat_headers: list[str]) -> None:
    pairs = zip(flat_headers[::2], flat_headers[1::2], strict=True)
    lines.extend(f'{name}: {text}' for name, text in pairs)


def _join(lines: list[str], body: bytes) -> bytes:
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + body
