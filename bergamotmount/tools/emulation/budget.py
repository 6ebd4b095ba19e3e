"""Check of the retry budget, from what servers see."""

import collections
import dataclasses

#: Span that repeats are counted over, in seconds, and the ratio allowed.
WINDOW_S = 10
RATIO = 0.2


@dataclasses.dataclass(slots=True)
class _Second:
    requests: int = 0
    repeats: int = 0


class BudgetWatch:
    """Counts requests for each service and arrivals beyond their first.

    Calls that a repeated run makes count as repeats too.
    """

    def __init__(self) -> None:
        """Count nothing yet."""
        self._seconds_by_service: dict[str, dict[int, _Second]] = {}
        self._seen: set[str] = set()
        self._inherited: set[str] = set()

    def requested(self, service: str, now_s: float) -> None:
        """Count a request that someone sent on a route to a service."""
        self._second(service, now_s).requests += 1

    def inherit(self, request_id: str) -> None:
        """Take note that a repeated run makes this call."""
        self._inherited.add(request_id)

    def arrived(self, service: str, request_id: str, now_s: float) -> bool:
        """Count an arrival at a server; return whether it is a repeat."""
        is_repeat = request_id in self._seen or request_id in self._inherited
        self._seen.add(request_id)
        self._second(service, now_s).repeats += is_repeat
        return is_repeat

    def worst(self, slack: float) -> dict[str, float]:
        """Return the greatest use of the budget of each service, 1 for all."""
        return {
            service: max(
                (
                    _use(seconds, second, slack)
                    for second in range(max(seconds) + 1)
                ),
                default=0,
            )
            for service, seconds in self._seconds_by_service.items()
        }

    def _second(self, service: str, now_s: float) -> _Second:
        seconds = self._seconds_by_service.setdefault(
            service,
            collections.defaultdict(_Second),
        )
        return seconds[int(now_s)]


def _use(seconds: dict[int, _Second], end: int, slack: float) -> float:
    repeats = sum(
        seconds[second].repeats for second in _window(end) if second in seconds
    )
    requests = max(
        _requests_in(seconds, end),
        _requests_in(seconds, end - WINDOW_S // 2),
        _requests_in(seconds, end - WINDOW_S),
    )
    return repeats / (RATIO * requests + slack + 1)


def _requests_in(seconds: dict[int, _Second], end: int) -> int:
    return sum(
        seconds[second].requests for second in _window(end) if second in seconds
    )


def _window(end: int) -> range:
    return range(end - WINDOW_S + 1, end + 1)
