"""Measures the use of the retry budget from the requests servers receive."""

import collections
import dataclasses

#: Window over which retries are counted, and their maximum ratio to requests.
WINDOW_S = 10
MAX_RETRY_RATIO = 0.2


@dataclasses.dataclass(slots=True)
class _SecondCounts:
    requests: int = 0
    retries: int = 0


class RetryBudgetMonitor:
    """Counts requests and retries for each service.

    An arrival is a retry if the same request id has arrived at a server before,
    or if it is a nested call of a retry.
    """

    def __init__(self) -> None:
        """Start without any requests."""
        self._counts_by_service: dict[str, dict[int, _SecondCounts]] = {}
        self._seen_ids: set[str] = set()
        self._nested_retry_ids: set[str] = set()

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request on a route to a service, from clients or servers."""
        self._counts_at(service, now_s).requests += 1

    def record_nested_retry(self, request_id: str) -> None:
        """Record that a nested call belongs to a retry."""
        self._nested_retry_ids.add(request_id)

    def record_arrival(
        self, service: str, request_id: str, now_s: float
    ) -> bool:
        """Count an arrival at a server; return whether it is a retry."""
        is_retry = (
            request_id in self._seen_ids or request_id in self._nested_retry_ids
        )
        self._seen_ids.add(request_id)
        self._counts_at(service, now_s).retries += is_retry
        return is_retry

    def max_use_by_service(self, slack: float) -> dict[str, float]:
        """Return the maximum use of the budget by service.

        1 means that the budget is used up. ``slack`` is the number of retries
        per window that are allowed on top of the ratio.
        """
        return {
            service: max(
                (
                    _budget_use(counts_by_second, second, slack)
                    for second in range(max(counts_by_second) + 1)
                ),
                default=0,
            )
            for service, counts_by_second in self._counts_by_service.items()
        }

    def _counts_at(self, service: str, now_s: float) -> _SecondCounts:
        counts_by_second = self._counts_by_service.setdefault(
            service,
            collections.defaultdict(_SecondCounts),
        )
        return counts_by_second[int(now_s)]


def _budget_use(
    counts_by_second: dict[int, _SecondCounts],
    end_second: int,
    slack: float,
) -> float:
    retries = sum(
        counts_by_second[second].retries
        for second in _window(end_second)
        if second in counts_by_second
    )
    requests = max(
        _requests_in(counts_by_second, end_second),
        _requests_in(counts_by_second, end_second - WINDOW_S // 2),
        _requests_in(counts_by_second, end_second - WINDOW_S),
    )
    return retries / (MAX_RETRY_RATIO * requests + slack + 1)


def _requests_in(
    counts_by_second: dict[int, _SecondCounts],
    end_second: int,
) -> int:
    return sum(
        counts_by_second[second].requests
        for second in _window(end_second)
        if second in counts_by_second
    )


def _window(end_second: int) -> range:
    return range(end_second - WINDOW_S + 1, end_second + 1)
