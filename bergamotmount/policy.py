"""Active policy: operations, retries and timing of backend servers."""

import dataclasses
from collections.abc import Iterable

#: Service and name of an operation.
OperationName = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a service, as declared by its operators.

    ``level`` is 0 for the most important operations. ``callees`` are the
    operations that it calls directly. ``is_retry_safe`` and
    ``downstream_services`` are derived from the call graph: whether the
    operation and all its direct and indirect callees are idempotent, and the
    services that they belong to.
    """

    service: str
    name: str
    level: int
    idempotent: bool
    callees: frozenset[OperationName]
    timeout_ms: int
    is_retry_safe: bool = True
    downstream_services: frozenset[str] = frozenset()

    @property
    def full_name(self) -> OperationName:
        """Unique name of the operation across all services."""
        return self.service, self.name


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Bounds on retries.

    ``per_request`` bounds all retries that one client request causes,
    ``ratio`` the retries of a service in proportion to its first attempts.
    """

    per_request: int = 3
    ratio: float = 0.1
    backoff_ms: int = 10


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPolicy:
    """Timing of the start, the lease and the stop of backend servers.

    ``slow_start_ms`` is the time in which a new server reaches its full
    limit, ``lease_ms`` the time for which an announcement is valid without
    renewal, ``drain_ms`` how long a planned stop waits for requests in flight.
    """

    slow_start_ms: int = 2000
    lease_ms: int = 5000
    drain_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Immutable snapshot of the active policy."""

    operation_by_name: dict[OperationName, Operation] = dataclasses.field(
        default_factory=dict,
    )
    retries: RetryPolicy = RetryPolicy()
    servers: ServerPolicy = ServerPolicy()


def find_cycle(
    callees_by_name: dict[OperationName, frozenset[OperationName]],
    starts: Iterable[OperationName],
) -> list[OperationName]:
    """Return operations that form a call cycle, or an empty list.

    Only operations reachable from ``starts`` are searched: a change can
    create a cycle only through the operations that it changes.
    """
    finished: set[OperationName] = set()
    for name in sorted(starts):
        cycle = _find_cycle_from(name, callees_by_name, finished)
        if cycle:
            return cycle
    return []


def resolve_operations(
    operations: Iterable[Operation],
) -> dict[OperationName, Operation]:
    """Return operations by name, with the fields derived from the call graph.

    The call graph must be acyclic.
    """
    declared = {(each.service, each.name): each for each in operations}
    resolved: dict[OperationName, Operation] = {}
    for name in declared:
        _resolve(name, declared, resolved)
    return resolved


def _resolve(
    start: OperationName,
    declared: dict[OperationName, Operation],
    resolved: dict[OperationName, Operation],
) -> None:
    pending = [start]
    while pending:
        name = pending[-1]
        if name in resolved:
            pending.pop()
            continue
        known = [each for each in declared[name].callees if each in declared]
        unresolved = [each for each in known if each not in resolved]
        if unresolved:
            pending.extend(unresolved)
            continue
        pending.pop()
        callees = [resolved[each] for each in known]
        resolved[name] = _derive(declared[name], callees)


def _derive(operation: Operation, callees: list[Operation]) -> Operation:
    services = {operation.service}.union(
        *(each.downstream_services for each in callees)
    )
    is_safe = operation.idempotent and all(
        each.is_retry_safe for each in callees
    )
    return Operation(
        operation.service,
        operation.name,
        operation.level,
        operation.idempotent,
        operation.callees,
        operation.timeout_ms,
        is_safe,
        frozenset(services),
    )


def _find_cycle_from(
    start: OperationName,
    callees_by_name: dict[OperationName, frozenset[OperationName]],
    finished: set[OperationName],
) -> list[OperationName]:
    path: list[OperationName] = []
    pending = [(start, 0)]
    while pending:
        name, depth = pending.pop()
        finished.update(path[depth:])
        path = path[:depth]
        if name in path:
            return [*path[path.index(name) :], name]
        if name in finished:
            continue
        path.append(name)
        callees = sorted(callees_by_name.get(name, ()))
        pending.extend((callee, depth + 1) for callee in callees)
    finished.update(path)
    return []
