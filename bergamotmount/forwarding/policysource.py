"""Source of a node's route policy: the store, or peers.

The active version never decreases while the process runs. A node that can't
read the store detects a newer version in a heartbeat and fetches the record
from its sender.
"""

import random
from collections.abc import Callable

from bergamotmount import events
from bergamotmount.clock import Clock
from bergamotmount.forwarding.routetable import RoutePolicy, RouteTable
from bergamotmount.forwarding.store import KeyedStore, OffsetExpiredError
from bergamotmount.log import part_logger
from bergamotmount.messages import Message, PolicyFetch, PolicyState
from bergamotmount.ports import LogError

#: Time for which a read of the store waits for a newer record.
LONG_POLL_MS = 20_000

#: Initial and maximum backoff after an error of the store, before jitter.
INITIAL_RETRY_MS = 300
MAX_RETRY_MS = 2000

_log = part_logger('policy')


class PolicyError(Exception):
    """A record doesn't contain a valid policy."""


#: Decodes a policy record; raises :class:`PolicyError` when it is invalid.
PolicyParser = Callable[[bytes], RoutePolicy]


class RoutePolicySource:
    """Holds the newest valid route policy that this node has received."""

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        parser: PolicyParser,
        rng: random.Random,
        on_update: Callable[[], None],
    ) -> None:
        """Start without a policy; call ``on_update`` after each new version."""
        self.table: RouteTable | None = None
        self.is_store_reachable: bool | None = None
        self._record = b''
        self._clock = clock
        self._store = store
        self._parser = parser
        self._rng = rng
        self._on_update = on_update
        self._offset: int | None = None
        self._retry_ms: float = INITIAL_RETRY_MS

    @property
    def version(self) -> int:
        """Active version, -1 before the first policy."""
        return -1 if self.table is None else self.table.policy.version

    def services_of(self, route: str) -> tuple[str, ...]:
        """Return the services that run the requests of a route."""
        return () if self.table is None else self.table.services_of(route)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._read()
            except LogError as error:
                self._set_reachable(is_reachable=False, detail=str(error))
                await self._clock.sleep(self._next_backoff_ms())
            else:
                self._retry_ms = INITIAL_RETRY_MS
                self._set_reachable(is_reachable=True, detail='')

    def fetch_if_behind(self, version: int) -> list[Message]:
        """Return a fetch request if a peer reports a newer version."""
        return [PolicyFetch(self.version)] if version > self.version else []

    def answer_fetch(self, fetch: PolicyFetch) -> list[Message]:
        """Return the active record for a peer, if the peer is behind."""
        if self.version <= fetch.known_offset:
            return []
        return [PolicyState(self.version, self._record)]

    def install_state(self, state: PolicyState) -> None:
        """Install the record of a peer if it is valid and newer."""
        self.apply_record(state.state, 'peer')

    def apply_record(self, record: bytes, source: str) -> None:
        """Activate a record if it is valid and newer."""
        try:
            policy = self._parser(record)
        except PolicyError as error:
            _log.warning('Policy record from {} rejected: {}.', source, error)
            return
        if policy.version <= self.version:
            return
        _log.info(
            'Policy version {} from {} replaces version {}: {} routes.',
            policy.version,
            source,
            self.version,
            len(policy.routes),
        )
        self.table = RouteTable(policy)
        self._record = record
        events.policy_accepted.send(self, offset=policy.version)
        self._on_update()

    async def _read(self) -> None:
        if self._offset is None:
            page = await self._store.newest_policy()
        else:
            try:
                page = await self._store.follow_policy(
                    self._offset, LONG_POLL_MS
                )
            except OffsetExpiredError:
                self._offset = None
                return
        self._offset = page.next_offset
        for record in page.records:
            self.apply_record(record, 'store')

    def _next_backoff_ms(self) -> float:
        pause_ms = self._retry_ms * self._rng.uniform(0.5, 1)
        self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
        return pause_ms

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if self.is_store_reachable is is_reachable:
            return
        self.is_store_reachable = is_reachable
        _log.info('Store reachable: {} {}', is_reachable, detail)
