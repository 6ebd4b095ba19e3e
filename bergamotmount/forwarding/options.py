"""What can be set on a forwarding node, and its ports."""

import dataclasses
import random

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.httpclient import ConnectionPool, PoolFactory
from bergamotmount.forwarding.policysource import Parser
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.heartbeats import HeartbeatTimes
from bergamotmount.ports import Dialer


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Timing of a planned stop, in milliseconds.

    For ``notice_ms`` callers are still served while they learn that this
    node stops; ``longest_ms`` bounds the whole.
    """

    notice_ms: float
    longest_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingOptions:
    """What can be set on a forwarding node."""

    service: str
    lease_ms: float
    retry: RetryBudgetOptions
    stop: StopTimes
    names: HeaderNames = HeaderNames()
    heartbeat: HeartbeatTimes = HeartbeatTimes()


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingPorts:
    """The outside of a forwarding node."""

    clock: Clock
    dialer: Dialer
    store: KeyedStore
    parser: Parser
    counters: Counters
    rng: random.Random
    pool_factory: PoolFactory = ConnectionPool
