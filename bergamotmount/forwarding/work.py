"""A request in hand at its entry, and how its attempts went."""

import dataclasses

from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.routetable import Route
from bergamotmount.forwarding.runs import Run
from bergamotmount.outcomes import Answered, NotRun, Outcome
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reasons import RefusalReason, UnknownReason

_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class Work:
    """A request in hand and what was tried for it.

    ``deadline_ms`` is the earlier one of the caller's and the route's.
    ``parent`` is the run that made it, if any. ``tried`` are nodes that were
    asked, ``servers_reached`` counts servers that may have seen it.
    ``threshold`` is what it, or its root, was compared with.
    """

    request: HttpRequest
    request_id: str
    route: Route
    service: str
    deadline_ms: float
    rank: float
    parent: Run | None
    tried: set[str] = dataclasses.field(default_factory=set)
    servers_reached: int = 0
    may_have_run: bool = False
    refusal: NotRun | None = None
    unknown: UnknownReason | None = None
    threshold: float = ADMIT_ALL_RANK

    @property
    def is_inner(self) -> bool:
        """Whether a running request made it."""
        return self.parent is not None


def is_good(outcome: Outcome) -> bool:
    """Return whether an outcome speaks for the server that gave it."""
    match outcome:
        case Answered(status):
            return status != _SERVER_ERROR
        case NotRun(reason):
            return reason is not RefusalReason.SERVER_SHED
        case _:
            return False
