"""Tables of what an emulated scenario gave."""

from bergamotmount.tools.emulation.callers import KindResult
from bergamotmount.tools.emulation.world import SETTLE_S, World

#: Seconds in one row of the table over time.
ROW_S = 2

_HEAD = (
    f'{"":16}{"asked":>7}{"in aim":>7}{"late":>6}{"refused":>8}{"failed":>7}'
)


def table(world: World) -> str:
    """Return results by kind, by time and by service as lines of text."""
    lines = [f'worth {world.results.worth():.3f}', '', _HEAD]
    for name, result in world.results.by_kind.items():
        lines.append(_row(name, result))
    lines.append('')
    for start, result in sorted(_rows(world).items()):
        lines.append(_row(f'second {start}', result))
    lines.append('')
    lines.extend(_service_rows(world))
    lines.append('')
    for reason, count in sorted(world.counters.by_reason.items()):
        lines.append(f'{reason:44}{count:7}')
    return '\n'.join(lines)


def _service_rows(world: World) -> list[str]:
    use_by_service = world.budget.worst(world.deployment.budget_slack)
    return [
        _service_row(name, world, use_by_service.get(name, 0))
        for name in world.deployment.service_by_name
    ]


def _service_row(name: str, world: World, use: float) -> str:
    servers = [
        host.server for host in world.hosts if host.server.service.name == name
    ]
    runs = sum(server.runs for server in servers)
    in_vain = runs - sum(server.good for server in servers)
    refused = sum(server.refused for server in servers)
    return (
        f'{name:16} runs {runs}, in vain {in_vain}, '
        f'refused by servers {refused}, retry budget used {use:.2f}'
    )


def _row(name: str, result: KindResult) -> str:
    share = result.earned / max(result.owed, 1)
    return (
        f'{name:16}{result.asked:7}{result.in_aim:7}{result.late:6}'
        f'{result.refused:8}{result.failed:7}  worth {share:.3f}'
        f'  refused again {result.refused_again}'
    )


def _rows(world: World) -> dict[int, KindResult]:
    rows: dict[int, KindResult] = {}
    for second, result in world.results.by_second.items():
        start = (second - SETTLE_S) // ROW_S * ROW_S
        row = rows.setdefault(start, KindResult())
        for field in KindResult.__slots__:
            total = getattr(row, field) + getattr(result, field)
            setattr(row, field, total)
    return rows
