"""Formats the results of an emulated scenario as tables."""

from bergamotmount.tools.emulation.callers import RequestTotals
from bergamotmount.tools.emulation.simulation import SETTLE_S, Simulation

#: Interval that one row of the table over time covers.
ROW_INTERVAL_S = 2

_HEADER = (
    f'{"":16}{"asked":>7}{"in aim":>7}{"late":>6}{"refused":>8}{"failed":>7}'
)


def format_report(simulation: Simulation) -> str:
    """Return the results by kind, time and service, and counts by reason."""
    lines = [f'worth {simulation.results.earned_share():.3f}', '', _HEADER]
    for name, totals in simulation.results.by_kind.items():
        lines.append(_row(name, totals))
    lines.append('')
    for start, totals in sorted(_results_by_interval(simulation).items()):
        lines.append(_row(f'second {start}', totals))
    lines.append('')
    lines.extend(_service_rows(simulation))
    lines.append('')
    lines.extend(_traffic_rows(simulation))
    lines.append('')
    for reason, count in sorted(simulation.counters.by_reason.items()):
        lines.append(f'{reason:44}{count:7}')
    return '\n'.join(lines)


def _service_rows(simulation: Simulation) -> list[str]:
    budget_use_by_service = simulation.retry_budget.max_use_by_service(
        simulation.deployment.budget_slack,
    )
    return [
        _service_row(name, simulation, budget_use_by_service.get(name, 0))
        for name in simulation.deployment.service_by_name
    ]


def _service_row(name: str, simulation: Simulation, budget_use: float) -> str:
    servers = [
        host.server
        for host in simulation.hosts
        if host.server.service.name == name
    ]
    executions = sum(server.executions for server in servers)
    wasted = executions - sum(server.successes for server in servers)
    refused = sum(server.refused for server in servers)
    return (
        f'{name:16} runs {executions}, in vain {wasted}, '
        f'refused by servers {refused}, retry budget used {budget_use:.2f}'
    )


def _traffic_rows(simulation: Simulation) -> list[str]:
    """Return what the nodes sent each other, in all and for each node."""
    traffic = simulation.network.traffic
    counts = {
        **traffic.message_by_kind,
        'member updates': traffic.member_updates,
        'connections': traffic.connections,
    }
    nodes = len(simulation.hosts)
    return [
        f'{name:24}{count:9}  per node {count / nodes:.1f}'
        for name, count in sorted(counts.items())
    ]


def _row(name: str, totals: RequestTotals) -> str:
    share = totals.earned / max(totals.owed, 1)
    return (
        f'{name:16}{totals.asked:7}{totals.in_aim:7}{totals.late:6}'
        f'{totals.refused:8}{totals.failed:7}  worth {share:.3f}'
        f'  refused again {totals.refused_again}'
    )


def _results_by_interval(simulation: Simulation) -> dict[int, RequestTotals]:
    rows: dict[int, RequestTotals] = {}
    for second, totals in simulation.results.by_second.items():
        start = (second - SETTLE_S) // ROW_INTERVAL_S * ROW_INTERVAL_S
        row = rows.setdefault(start, RequestTotals())
        for field in RequestTotals.__slots__:
            total = getattr(row, field) + getattr(totals, field)
            setattr(row, field, total)
    return rows
