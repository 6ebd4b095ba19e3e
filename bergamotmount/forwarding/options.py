"""Options of a forwarding node, and the ports that it depends on."""

import dataclasses
import math
import random

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.httpclient import (
    ConnectionPool,
    PoolFactory,
)
from bergamotmount.forwarding.policysource import PolicyParser
from bergamotmount.forwarding.policywatch import APPLY_MS
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.heartbeats import HeartbeatTimes
from bergamotmount.memoryaccount import MemoryAccount
from bergamotmount.organisations.quotaowner import QuotaOptions
from bergamotmount.ports import Dialer
from bergamotmount.processlimits import ProcessLimits


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Timing of a graceful stop, in milliseconds.

    During ``notice_ms`` the node still accepts connections, while callers
    learn that it is stopping. That time and the wait for requests in flight
    together take at most ``max_drain_ms``.
    """

    notice_ms: float
    max_drain_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingOptions:
    """Options of a forwarding node.

    ``service`` is the local service until a backend server announces its
    own. A server that isn't announced for ``lease_ms`` counts as absent.
    Keys are accepted for ``policy_lease_ms`` after the policy was known to be
    the newest. A published policy has to be in force after ``policy_apply_ms``.
    ``is_first_start`` tells that all nodes start at the same time. ``limits``
    bound the connections of callers.
    """

    service: str
    lease_ms: float
    retry: RetryBudgetOptions
    stop: StopTimes
    header_names: HeaderNames = HeaderNames()
    heartbeat: HeartbeatTimes = HeartbeatTimes()
    is_first_start: bool = False
    policy_lease_ms: float = math.inf
    policy_apply_ms: float = APPLY_MS
    quota: QuotaOptions = QuotaOptions()
    limits: ProcessLimits = ProcessLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingPorts:
    """Ports that connect a forwarding node to its environment.

    ``account`` is that of the process; by default the node has one of its
    own, without a limit.
    """

    clock: Clock
    dialer: Dialer
    store: KeyedStore
    parser: PolicyParser
    counters: Counters
    rng: random.Random
    pool_factory: PoolFactory = ConnectionPool
    account: MemoryAccount = dataclasses.field(
        default_factory=lambda: MemoryAccount(Clock())
    )
