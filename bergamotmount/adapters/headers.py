"""Names of the HTTP headers, and which headers pass through."""

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

_OWN_PREFIX = 'bergamot-'
_CACHED_NAMES = 1024

#: Headers that concern one connection, or that each side sets itself.
_NOT_PASSED = frozenset(
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


def passed_headers(headers: Mapping[str, str]) -> list[str]:
    """Return names and values, alternating, of the headers to pass on."""
    passed = []
    for name, text in headers.items():
        if _is_passed(name):
            passed.append(name)
            passed.append(text)
    return passed


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _is_passed(name: str) -> bool:
    lowered = name.lower()
    return lowered not in _NOT_PASSED and not lowered.startswith(_OWN_PREFIX)


def pairs(flat: list[str]) -> Iterable[tuple[str, str]]:
    """Return alternating names and values as pairs."""
    return zip(flat[::2], flat[1::2], strict=False)
