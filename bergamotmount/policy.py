"""Policy in force: operations, retries and treatment of backend servers."""

import dataclasses
from collections.abc import Iterable

#: Name of an operation: service and operation.
OperationName = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a service, as declared by its operators.

    ``level`` is 0 for the most important. ``callees`` are the operations it
    calls itself. ``may_repeat`` and ``needs`` follow from the whole graph:
    whether it and everything below is idempotent, and all services it needs.
    """

    service: str
    name: str
    level: int
    idempotent: bool
    callees: frozenset[OperationName]
    timeout_ms: int
    may_repeat: bool = True
    needs: frozenset[str] = frozenset()

    @property
    def full_name(self) -> OperationName:
        """Name of the operation among all services."""
        return self.service, self.name


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How much retrying is allowed.

    ``per_request`` bounds all retries that one client request causes,
    ``ratio`` the retries of a service against its first tries.
    """

    per_request: int = 3
    ratio: float = 0.1
    backoff_ms: int = 10


@dataclasses.dataclass(frozen=True, slots=True)
class ServerPolicy:
    """How backend servers are treated that come and go.

    ``slow_start_ms`` is how long a new server takes to its full limit,
    ``lease_ms`` how long an announcement lasts without renewal, ``drain_ms``
    how long a planned stop waits for requests in flight.
    """

    slow_start_ms: int = 2000
    lease_ms: int = 5000
    drain_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """All of the policy in force, as one immutable snapshot."""

    operation_by_name: dict[OperationName, Operation] = dataclasses.field(
        default_factory=dict,
    )
    retries: RetryPolicy = RetryPolicy()
    servers: ServerPolicy = ServerPolicy()


def find_cycle(
    callees_by_name: dict[OperationName, frozenset[OperationName]],
    starts: Iterable[OperationName],
) -> list[OperationName]:
    """Return operations that call each other in a circle, or an empty list.

    Only what can be reached from ``starts`` is searched: a change can close a
    circle only through the operations that it changes.
    """
    finished: set[OperationName] = set()
    for name in sorted(starts):
        cycle = _find_cycle_from(name, callees_by_name, finished)
        if cycle:
            return cycle
    return []


def link_operations(
    operations: Iterable[Operation],
) -> dict[OperationName, Operation]:
    """Return operations by name, with what follows from the whole graph.

    The operations must not call each other in a circle.
    """
    declared = {(each.service, each.name): each for each in operations}
    linked: dict[OperationName, Operation] = {}
    for name in declared:
        _link(name, declared, linked)
    return linked


def _link(
    start: OperationName,
    declared: dict[OperationName, Operation],
    linked: dict[OperationName, Operation],
) -> None:
    pending = [start]
    while pending:
        name = pending[-1]
        if name in linked:
            pending.pop()
            continue
        known = [each for each in declared[name].callees if each in declared]
        missing = [each for each in known if each not in linked]
        if missing:
            pending.extend(missing)
            continue
        pending.pop()
        below = [linked[each] for each in known]
        linked[name] = _linked(declared[name], below)


def _linked(operation: Operation, below: list[Operation]) -> Operation:
    needs = {operation.service}.union(*(each.needs for each in below))
    may_repeat = operation.idempotent and all(each.may_repeat for each in below)
    return Operation(
        operation.service,
        operation.name,
        operation.level,
        operation.idempotent,
        operation.callees,
        operation.timeout_ms,
        may_repeat,
        frozenset(needs),
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
