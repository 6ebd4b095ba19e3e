"""Counters stored as plain integers and served in Prometheus text format.

The Prometheus library is imported at the first scrape, so a node that is
never scraped doesn't hold it in memory.
"""

import collections
from collections.abc import Callable, Iterator

from bergamotmount.counters import Counters
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    HttpReply,
    RemoteAddress,
)
from bergamotmount.reasons import (
    DenialReason,
    DropReason,
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)

_OK = 200
_NOT_FOUND = 404


class PlainCounters(Counters):
    """Counts decisions by reason and serves the counts to scrapes."""

    def __init__(self) -> None:
        """Start without counts."""
        self.count_by_labels: collections.Counter = collections.Counter()
        self._read_by_name: dict[str, Callable[[], float]] = {}

    def admitted(self, service: str) -> None:
        """Count a request admitted to the backend server."""
        self.count_by_labels['admitted', 'service', service] += 1

    def refused(self, role: str, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.count_by_labels[f'{role}_refused', 'reason', reason] += 1

    def denied(self, reason: DenialReason) -> None:
        """Count a request without an accepted key."""
        self.count_by_labels['denied', 'reason', reason] += 1

    def unknown(self, role: str, reason: UnknownReason) -> None:
        """Count an unknown outcome."""
        self.count_by_labels[f'{role}_unknown', 'reason', reason] += 1

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.count_by_labels['retried', 'reason', reason] += 1

    def not_retried(self, reason: NoRetryReason) -> None:
        """Count a failed call that wasn't tried again."""
        self.count_by_labels['not_retried', 'reason', reason] += 1

    def dropped(self, reason: DropReason) -> None:
        """Count a dropped message or connection."""
        self.count_by_labels['dropped', 'reason', reason] += 1

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Export a value that ``read`` returns at each scrape."""
        self._read_by_name[name] = read

    def collect(self) -> Iterator:
        """Return a metric family for each counter name and each value."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        family_by_name: dict[str, CounterMetricFamily] = {}
        for (name, label, label_text), count in self.count_by_labels.items():
            if name not in family_by_name:
                family_by_name[name] = CounterMetricFamily(
                    f'bergamotmount_{name}',
                    f'Decisions counted as {name}.',
                    labels=[label],
                )
            family_by_name[name].add_metric([label_text], count)
        yield from family_by_name.values()
        for name, read in self._read_by_name.items():
            yield GaugeMetricFamily(
                f'bergamotmount_{name}',
                f'Current value of {name}.',
                value=read(),
            )

    async def handle(self, request: HttpRequest, _: RemoteAddress) -> HttpReply:
        """Handle an HTTP request for the metrics."""
        if request.path != '/metrics':
            return HttpReply(_NOT_FOUND)
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        headers = ['Content-Type', 'text/plain; version=0.0.4']
        return HttpReply(_OK, headers, generate_latest(registry))
