"""What a backend server states about itself in its responses.

An overloaded server states the rate of requests that it takes from all nodes
together; one that is about to stop states that it is leaving::

    signals = read_signals(response.headers, HeaderNames())
    if signals.is_leaving:
        ...  # send it no new requests
"""

import dataclasses
import math
from collections.abc import Iterable

from bergamotmount.forwarding.headers import HeaderNames

_LEAVING = '1'


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """Signals in one response.

    ``rate_limit`` is in requests per second, infinite if the server states
    none.
    """

    rate_limit: float = math.inf
    is_leaving: bool = False


NO_SIGNALS = ServerSignals()


def read_signals(
    headers: Iterable[tuple[str, str]], header_names: HeaderNames
) -> ServerSignals:
    """Return the signals in the headers of a response.

    A rate limit that isn't a decimal number of at least 0 counts as absent.
    """
    rate_limit = math.inf
    is_leaving = False
    signal_by_name = header_names.signal_by_name
    for name, text in headers:
        match signal_by_name.get(name.lower()):
            case 'rate_limit':
                rate_limit = _parse_rate(text)
            case 'leaving':
                is_leaving = text.strip() == _LEAVING
    if is_leaving or rate_limit < math.inf:
        return ServerSignals(rate_limit, is_leaving)
    return NO_SIGNALS


def _parse_rate(text: str) -> float:
    try:
        rate = float(text)
    except ValueError:
        return math.inf
    return rate if rate >= 0 else math.inf
