"""Messages between nodes, as data classes.

These are what the decisions see. :mod:`bergamotmount.wire` translates them
to and from thrift; a program that embeds the parts may carry them otherwise.
Durations are in milliseconds.
"""

import dataclasses

from bergamotmount.member import Member
from bergamotmount.outcomes import Outcome
from bergamotmount.rank import OPEN_RANK
from bergamotmount.reports import DemandReport, ThresholdReport


@dataclasses.dataclass(slots=True)
class Call:
    """One attempt at a request, from an egress to an ingress.

    ``attempt`` is unique on the sender and matches the answer. ``rank``
    orders requests under overload, 0 first. ``remaining_ms`` is the time left
    until the deadline at the moment of sending, ``tokens`` the retry tokens
    lent to everything below this call. ``target`` is path and query of a
    forwarded HTTP request, empty for a call of an operation. ``tries``
    counts the servers that were asked before. ``entry_threshold`` is the rank
    up to which the entry let requests like its root in.
    """

    attempt: int
    root: str
    rank: float
    remaining_ms: int
    tokens: int
    service: str
    operation: str
    method: str = 'POST'
    headers: list[str] = dataclasses.field(default_factory=list)
    body: bytes = b''
    ticket: str = ''
    idempotent: bool = True
    depth: int = 0
    target: str = ''
    tries: int = 0
    entry_threshold: float = OPEN_RANK


@dataclasses.dataclass(slots=True)
class Answer:
    """Outcome of one attempt, with the news that travels back with it.

    ``tokens`` are the retry tokens returned unused, ``threshold`` the rank
    above which this backend server refuses, ``thresholds`` what the node
    heard of other services, ``load_permille`` the share of the server's limit
    in use, in thousandths, ``service_ms`` the server's mean service time, 0
    when it isn't known, ``demand`` what the server can take and is asked for,
    ``needs`` the services that its calls for this request lead to.
    """

    attempt: int
    outcome: Outcome
    tokens: int = 0
    threshold: float = OPEN_RANK
    thresholds: dict[str, ThresholdReport] = dataclasses.field(
        default_factory=dict,
    )
    load_permille: int = 0
    service_ms: int = 0
    demand: DemandReport = DemandReport()
    needs: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Cancel:
    """The sender no longer wants the answer to an attempt."""

    attempt: int


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Sign of life with the latest changes of membership.

    ``digest`` sums up the sender's member table; ``full`` asks for or brings
    the whole table after digests differed. A heartbeat with ``reply`` false
    is answered by one with ``reply`` true and the same ``sequence``.
    """

    sequence: int
    reply: bool
    members: list[Member]
    digest: int
    policy_offset: int
    threshold: float = OPEN_RANK
    thresholds: dict[str, ThresholdReport] = dataclasses.field(
        default_factory=dict,
    )
    load_permille: int = 0
    full: bool = False
    release: str = ''


@dataclasses.dataclass(slots=True)
class Ping:
    """Asks the peer for any byte; it comes back with ``reply`` true."""

    reply: bool = False


@dataclasses.dataclass(slots=True)
class PolicyFetch:
    """Asks a peer for accepted policy newer than ``known_offset``."""

    known_offset: int


@dataclasses.dataclass(slots=True)
class PolicyRecords:
    """Consecutive records of the policy stream from ``first_offset`` on."""

    first_offset: int
    records: list[bytes]


@dataclasses.dataclass(slots=True)
class PolicyState:
    """Whole accepted policy at a log offset, as serialized state."""

    offset: int
    state: bytes


Message = (
    Call
    | Answer
    | Cancel
    | Heartbeat
    | Ping
    | PolicyFetch
    | PolicyRecords
    | PolicyState
)
