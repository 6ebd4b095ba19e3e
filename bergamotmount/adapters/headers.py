"""Names of HTTP headers, and the selection of headers to forward."""

import functools
from collections.abc import Iterable, Mapping

PARENT = 'Bergamot-Parent'
TICKET = 'Bergamot-Ticket'
DEADLINE = 'Bergamot-Deadline-Ms'
LEVEL = 'Bergamot-Level'
REQUEST_ID = 'Bergamot-Request-Id'
ROOT = 'Bergamot-Root'
OUTCOME = 'Bergamot-Outcome'
REASON = 'Bergamot-Reason'
RETRY_AFTER = 'Retry-After'
RETRY_AFTER_MS = 'Bergamot-Retry-After-Ms'
NOT_RUN = 'Bergamot-Not-Run'
ATTEMPT = 'Bergamot-Attempt'

_RESERVED_PREFIX = 'bergamot-'
_MAX_CACHED_NAMES = 1024

#: Headers that apply to one connection, or that each side sets itself.
_NOT_FORWARDED = frozenset(
    (
        'accept-encoding',
        'connection',
        'content-length',
        'date',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def forwarded_headers(headers: Mapping[str, str]) -> list[str]:
    """Return alternating names and values of the headers to forward."""
    forwarded = []
    for name, text in headers.items():
        if _is_forwarded(name):
            forwarded.append(name)
            forwarded.append(text)
    return forwarded


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _is_forwarded(name: str) -> bool:
    lowered = name.lower()
    return lowered not in _NOT_FORWARDED and not lowered.startswith(
        _RESERVED_PREFIX,
    )


def to_pairs(flat: list[str]) -> Iterable[tuple[str, str]]:
    """Return pairs of name and value from an alternating list."""
    return zip(flat[::2], flat[1::2], strict=False)
