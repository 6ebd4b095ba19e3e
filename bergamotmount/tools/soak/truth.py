"""What callers sent and got, and what servers saw, in one clock."""

import asyncio
import collections
import dataclasses


def now_s() -> float:
    """Return the time that all records of a soak share, in seconds."""
    return asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of a caller, or call of a server, and how it ended.

    ``status`` is 0 without an answer; ``is_whole`` tells whether the answer
    was the whole body that belongs to the request. ``life`` counts the starts
    of the node that it was sent to. ``left_s`` is when the caller left.
    """

    request_id: str
    path: str
    host: str
    life: int
    may_repeat: bool
    sent_s: float
    answered_s: float = 0
    status: int = 0
    is_whole: bool = False
    is_call: bool = False
    left_s: float | None = None


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request at a server; ``is_run`` unless the server refused it."""

    request_id: str
    service: str
    host: str
    instance: str
    arrived_s: float
    is_run: bool
    is_repeat: bool
    ended_s: float | None = None


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault on a host, or on all without a name, while it lasted."""

    what: str
    host: str
    start_s: float
    end_s: float = float('inf')
    is_planned: bool = False


@dataclasses.dataclass(slots=True)
class Truth:
    """All records of one soak."""

    sent_by_id: dict[str, Sent] = dataclasses.field(default_factory=dict)
    arrivals_by_id: dict[str, list[Arrival]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    repeated_runs: set[str] = dataclasses.field(default_factory=set)
    requested: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    left_s_by_instance: dict[str, float] = dataclasses.field(
        default_factory=dict,
    )
    published_s_by_version: dict[int, float] = dataclasses.field(
        default_factory=dict,
    )
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    ended_alone: list[str] = dataclasses.field(default_factory=list)
    error_lines: list[str] = dataclasses.field(default_factory=list)
    recovered_share: float = 0

    def arrive(
        self,
        request_id: str,
        service: str,
        host: str,
        instance: str,
        *,
        is_run: bool,
    ) -> Arrival:
        """Note an arrival at a server and return it."""
        earlier = self.arrivals_by_id[request_id]
        is_repeat = bool(earlier) or request_id in self.repeated_runs
        arrival = Arrival(
            request_id,
            service,
            host,
            instance,
            now_s(),
            is_run,
            is_repeat,
        )
        earlier.append(arrival)
        return arrival

    def is_calm(self, host: str, start_s: float, end_s: float) -> bool:
        """Return whether nothing was wrong with a host in a span."""
        return not any(self.disturbed(host, start_s, end_s))

    def disturbed(
        self,
        host: str,
        start_s: float,
        end_s: float,
    ) -> list[Disturbance]:
        """Return what was wrong with a host in a span."""
        return [
            each
            for each in self.disturbances
            if each.host in {'', host}
            and each.start_s <= end_s
            and each.end_s >= start_s
        ]
