"""Messages between nodes, as data classes.

The decision logic uses these classes. :mod:`bergamotmount.wire` translates
them to and from Thrift; a program that embeds the library may use another
encoding. Durations are in milliseconds.
"""

import dataclasses

from bergamotmount.member import Member
from bergamotmount.outcomes import Outcome
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reports import (
    CrashReport,
    DemandReport,
    ObservedCall,
    PolicyEvidence,
    ThresholdReport,
)

#: Maximum size of the body in a message between nodes.
MAX_BODY_BYTES = 3840 * 1024


@dataclasses.dataclass(slots=True)
class Call:
    """One attempt at a request, from an egress to an ingress.

    ``attempt`` is unique on the sender and identifies the answer. ``rank`` is
    the priority under overload, lowest first. ``remaining_ms`` is the time to
    the deadline when the call is sent, ``tokens`` the retry tokens delegated
    with it. ``target`` is path and query of a forwarded HTTP request, empty
    for a call of an operation. ``tries`` is the number of servers that were
    tried before. ``entry_threshold`` is the threshold that the entry node
    applied to the root request. ``is_repeat`` tells that a server may have
    received this request, or the one that makes it, before.
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
    entry_threshold: float = ADMIT_ALL_RANK
    is_repeat: bool = False


@dataclasses.dataclass(slots=True)
class Answer:
    """Outcome of one attempt, with load reports of the answering node.

    ``tokens`` are the unused retry tokens, ``threshold`` is the rank above
    which this backend server refuses requests, ``thresholds`` are those of
    other services that the node knows. ``load_permille`` is the load in
    thousandths of the server's limit, ``service_ms`` the mean service time, 0
    if unknown, ``demand`` the capacity of the server and the demand for it.
    ``needs`` are the services that its nested calls for this request reach,
    ``crashes`` the crashes under this request that the node knows of,
    ``evidence`` is what it knows of the newest policy.
    """

    attempt: int
    outcome: Outcome
    tokens: int = 0
    threshold: float = ADMIT_ALL_RANK
    thresholds: dict[str, ThresholdReport] = dataclasses.field(
        default_factory=dict,
    )
    load_permille: int = 0
    service_ms: int = 0
    demand: DemandReport = DemandReport()
    needs: list[str] = dataclasses.field(default_factory=list)
    crashes: list[CrashReport] = dataclasses.field(default_factory=list)
    evidence: PolicyEvidence | None = None


@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancels an attempt; the sender no longer waits for the answer."""

    attempt: int


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Heartbeat with recent membership updates.

    ``digest`` summarizes the sender's member table. ``buckets`` are digests
    of its parts; the receiver returns its members in the parts that differ. A
    heartbeat with ``reply`` false is answered by one with ``reply`` true and
    the same ``sequence``; one that only brings updates has ``reply`` true too.
    ``calls`` are calls between routes that the sender or other nodes have
    observed lately, ``crashes`` are crashes of servers under requests.

    ``sent_ms`` is the time on the sender's clock, which a reply repeats as
    ``echoed_ms``. ``evidence`` is what the sender knows of the newest policy.
    ``policy_age_ms`` is how long ago no version newer than ``policy_offset``
    existed, counted from when the heartbeat is received. Each is ``None`` if
    there is none. ``omitted`` is how many members and
    reports of a received heartbeat couldn't be used.
    """

    sequence: int
    reply: bool
    members: list[Member]
    digest: int
    policy_offset: int
    threshold: float = ADMIT_ALL_RANK
    thresholds: dict[str, ThresholdReport] = dataclasses.field(
        default_factory=dict,
    )
    load_permille: int = 0
    buckets: list[int] = dataclasses.field(default_factory=list)
    release: str = ''
    calls: list[ObservedCall] = dataclasses.field(default_factory=list)
    crashes: list[CrashReport] = dataclasses.field(default_factory=list)
    sent_ms: float | None = None
    echoed_ms: float | None = None
    evidence: PolicyEvidence | None = None
    policy_age_ms: int | None = None
    omitted: int = 0


@dataclasses.dataclass(slots=True)
class QuotaRequest:
    """Asks the owner of an organisation's quota for tokens.

    ``waiting`` requests need a token now. The node holds ``held`` tokens for
    requests to come and would like to hold ``wanted``.
    """

    sequence: int
    organisation: str
    node: str
    waiting: int
    wanted: int
    held: int


@dataclasses.dataclass(slots=True)
class QuotaGrant:
    """Tokens granted for the request with this ``sequence``.

    ``retry_after_ms`` is the time until a token is expected for those that
    wait in vain. With ``is_owner`` false the receiver of the request doesn't
    own the quota, as far as it knows.
    """

    sequence: int
    organisation: str
    tokens: int
    retry_after_ms: int = 0
    is_owner: bool = True


@dataclasses.dataclass(slots=True)
class Ping:
    """Asks the peer for any byte, to check that the connection is alive.

    The answer is a ping with ``reply`` true.
    """

    reply: bool = False


@dataclasses.dataclass(slots=True)
class PolicyFetch:
    """Requests accepted policy newer than ``known_offset`` from a peer."""

    known_offset: int


@dataclasses.dataclass(slots=True)
class PolicyRecords:
    """Consecutive records of the policy stream from ``first_offset`` on."""

    first_offset: int
    records: list[bytes]


@dataclasses.dataclass(slots=True)
class PolicyState:
    """Complete accepted policy at a log offset, as serialized state."""

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
    | QuotaRequest
    | QuotaGrant
)
