"""State of a request at its entry, over all of its attempts."""

import dataclasses

from bergamotmount.forwarding.activerequests import ActiveRequest
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.routetable import Route
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.outcomes import Answered, NotRun, Outcome
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reasons import RefusalReason, UnknownReason

_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that the entry is handling, with the state of its attempts.

    It was received at ``received_ms``. ``deadline_ms`` is the earlier of the
    caller's and the route's deadline. After a refusal the caller may come back
    until ``caller_deadline_ms``.
    ``parent`` is the active request that made this call, ``None`` for a root
    request. ``tried_nodes`` are the nodes of the servers that were tried,
    ``reached_nodes`` those of the servers that may have received the request,
    ``shed_nodes`` those of the servers that turned it away last time.
    ``sends`` counts how often a server may have received it.
    ``threshold`` is the threshold that this request, or its root request, was
    compared with. ``organisation`` is that of the caller's key. With
    ``removes_key`` headers that state a key or an organisation aren't
    forwarded. ``policy_version`` is the version by which its route was found.
    """

    request: HttpRequest
    request_id: str
    route: Route
    service: str
    deadline_ms: float
    rank: float
    parent: ActiveRequest | None
    received_ms: float = 0
    caller_deadline_ms: float = 0
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    reached_nodes: set[str] = dataclasses.field(default_factory=set)
    shed_nodes: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    refusal: NotRun | None = None
    unknown_reason: UnknownReason | None = None
    threshold: float = ADMIT_ALL_RANK
    organisation: Organisation | None = None
    removes_key: bool = False
    policy_version: int = -1

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty without one."""
        return '' if self.organisation is None else self.organisation.name

    @property
    def may_reach_another_server(self) -> bool:
        """Whether the route allows sending it to one more server."""
        return len(self.reached_nodes) < self.route.max_servers

    @property
    def may_return(self) -> bool:
        """Whether it may go back to a server that shed it."""
        return bool(self.shed_nodes) and not self.may_have_run

    @property
    def is_nested(self) -> bool:
        """Whether an active request on this host made this call."""
        return self.parent is not None

    @property
    def is_repeat(self) -> bool:
        """Whether its run counts as a retry of it or of its parent."""
        return self.sends > 0 or self.is_called_by_repeat

    @property
    def is_called_by_repeat(self) -> bool:
        """Whether the run that makes this call is a retry."""
        return self.parent is not None and self.parent.is_repeat

    def record_reached(self, node: str) -> None:
        """Record that a server may have received the request."""
        self.reached_nodes.add(node)
        self.shed_nodes.discard(node)
        self.sends += 1


def is_success(outcome: Outcome) -> bool:
    """Return whether an outcome counts as a success of its server.

    Errors with status 500, shed requests and unknown outcomes are failures.
    """
    match outcome:
        case Answered(status):
            return status != _SERVER_ERROR
        case NotRun(reason):
            return reason is not RefusalReason.SERVER_SHED
        case _:
            return False
