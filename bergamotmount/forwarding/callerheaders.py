"""Headers by which a caller identifies and bounds its request."""

import dataclasses
import math
from collections.abc import Iterable

from bergamotmount.forwarding.headers import HeaderNames


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Id and timeout of a request, empty and infinite if not stated."""

    request_id: str = ''
    timeout_ms: float = math.inf


def parse_caller_headers(
    headers: Iterable[tuple[str, str]], header_names: HeaderNames
) -> CallerHeaders | None:
    """Return what the headers of a request state, ``None`` if invalid.

    Each of the two headers may occur once; the timeout must be decimal::

        parse_caller_headers([('Bergamot-Deadline-Ms', '800')], HeaderNames())
    """
    text_by_name: dict[str, str] = {}
    for name, text in headers:
        lowered = name.lower()
        if lowered not in header_names.single_valued:
            continue
        if lowered in text_by_name:
            return None
        text_by_name[lowered] = text
    request_id = text_by_name.get(header_names.request_id.lower(), '')
    timeout = text_by_name.get(header_names.deadline.lower())
    if timeout is None:
        return CallerHeaders(request_id)
    if not timeout.isdecimal():
        return None
    return CallerHeaders(request_id, int(timeout))
