"""Metrics of a node, exported through the Prometheus client library."""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, Counter
from prometheus_client.metrics_core import GaugeMetricFamily

from bergamotmount.counters import Counters
from bergamotmount.member import MemberState
from bergamotmount.node import Node
from bergamotmount.reasons import (
    DropReason,
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)


class PrometheusCounters(Counters):
    """Counts decisions, by reason, in Prometheus counters."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register all counters with a value of zero for each reason."""
        self._admitted = Counter(
            'bergamotmount_admitted',
            'Requests that went to the backend server.',
            registry=registry,
        )
        self._refused_by_role = {
            role: _counter_by_reason(
                Counter(
                    f'bergamotmount_{role}_refused',
                    f'Requests refused by the {role}; none of them was run.',
                    ['reason'],
                    registry=registry,
                ),
                RefusalReason,
            )
            for role in ('egress', 'ingress')
        }
        self._unknown_by_role = {
            role: _counter_by_reason(
                Counter(
                    f'bergamotmount_{role}_unknown',
                    f'Requests of unknown outcome at the {role}.',
                    ['reason'],
                    registry=registry,
                ),
                UnknownReason,
            )
            for role in ('egress', 'ingress')
        }
        self._retried = _counter_by_reason(
            Counter(
                'bergamotmount_retried',
                'Retries.',
                ['reason'],
                registry=registry,
            ),
            RetryReason,
        )
        self._not_retried = _counter_by_reason(
            Counter(
                'bergamotmount_not_retried',
                'Failed calls that were not tried again.',
                ['reason'],
                registry=registry,
            ),
            NoRetryReason,
        )
        self._dropped = _counter_by_reason(
            Counter(
                'bergamotmount_dropped',
                'Messages and connections dropped.',
                ['reason'],
                registry=registry,
            ),
            DropReason,
        )

    def admitted(self, service: str) -> None:
        """Count a request admitted to the backend server."""
        self._admitted.inc()

    def refused(self, role: str, reason: RefusalReason) -> None:
        """Count a refusal."""
        self._refused_by_role[role][reason].inc()

    def unknown(self, role: str, reason: UnknownReason) -> None:
        """Count an unknown outcome."""
        self._unknown_by_role[role][reason].inc()

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._retried[reason].inc()

    def not_retried(self, reason: NoRetryReason) -> None:
        """Count a failed call that wasn't tried again."""
        self._not_retried[reason].inc()

    def dropped(self, reason: DropReason) -> None:
        """Count a dropped message or connection."""
        self._dropped[reason].inc()


class NodeCollector:
    """Collects gauges from the state of a node at each scrape."""

    def __init__(self, node: Node) -> None:
        """Collect from ``node``."""
        self._node = node

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return all gauges with their current values."""
        runtime = self._node.runtime
        for name, help_text, number in (
            (
                'in_flight',
                'Requests at the server.',
                runtime.admission.in_flight,
            ),
            ('queued', 'Requests that wait.', runtime.admission.queued),
            ('limit', 'Concurrency limit.', runtime.admission.limit.current()),
            (
                'threshold',
                'Rank refused above.',
                runtime.controller.threshold(),
            ),
            ('tickets', 'Tickets remembered.', runtime.tickets.ticket_count),
            (
                'policy_offset',
                'Log offset of the policy in force.',
                self._node.distribution.state.offset,
            ),
            (
                'log_reachable',
                'Whether the last use of the log worked.',
                int(self._node.distribution.is_log_reachable),
            ),
            (
                'open_links',
                'Connections to peers.',
                self._node.links.open_links,
            ),
            (
                'memory_held_bytes',
                'Memory held for callers and peers.',
                self._node.ports.account.held_bytes,
            ),
            (
                'memory_limit_bytes',
                'Memory above which holdings are given up.',
                self._node.ports.account.limit_bytes,
            ),
        ):
            yield _gauge(name, help_text, number)
        yield self._peers_gauge()

    def _peers_gauge(self) -> GaugeMetricFamily:
        peers = GaugeMetricFamily(
            'bergamotmount_peers',
            'Members known, by state.',
            labels=['state'],
        )
        members = self._node.members.member_by_node.values()
        states = [member.state for member in members]
        for state in MemberState:
            peers.add_metric([state.name.lower()], states.count(state))
        return peers


def _counter_by_reason(
    counter: Counter,
    reasons: Iterable[str],
) -> dict[str, Counter]:
    return {reason: counter.labels(reason) for reason in reasons}


def _gauge(name: str, help_text: str, number: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f'bergamotmount_{name}', help_text, value=number)
