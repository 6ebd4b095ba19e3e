"""Route policy of a node: read from the store, or taken from peers.

The version only grows within the life of a process. A node that can't read
the store hears of a newer version in a heartbeat and fetches the record from
whoever told it.
"""

import random
from collections.abc import Callable

from bergamotmount import events
from bergamotmount.clock import Clock
from bergamotmount.forwarding.routetable import RoutePolicy, RouteTable
from bergamotmount.forwarding.store import KeyedStore, OvertakenError
from bergamotmount.log import part_logger
from bergamotmount.messages import Message, PolicyFetch, PolicyState
from bergamotmount.ports import LogError

#: How long a read of the store waits for a newer record.
POLL_MS = 20_000

#: First and longest pause after an error of the store.
RETRY_MS = 300
MAX_RETRY_MS = 2000

_log = part_logger('policy')


class PolicyError(Exception):
    """A record that is no valid policy."""


#: Reads a record; raises :class:`PolicyError`.
Parser = Callable[[bytes], RoutePolicy]


class RoutePolicySource:
    """Keeps the newest route policy that this node has heard of."""

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        parser: Parser,
        rng: random.Random,
        on_news: Callable[[], None],
    ) -> None:
        """Call ``on_news`` when peers should hear of a newer version."""
        self.table: RouteTable | None = None
        self.is_store_reachable: bool | None = None
        self._record = b''
        self._clock = clock
        self._store = store
        self._parser = parser
        self._rng = rng
        self._on_news = on_news
        self._offset: int | None = None
        self._retry_ms: float = RETRY_MS

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
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
                await self._clock.sleep(self._backoff_ms())
            else:
                self._retry_ms = RETRY_MS
                self._set_reachable(is_reachable=True, detail='')

    def behind(self, version: int) -> list[Message]:
        """Return what to ask a peer that has told its version."""
        return [PolicyFetch(self.version)] if version > self.version else []

    def serve(self, fetch: PolicyFetch) -> list[Message]:
        """Return the record in force to a peer that has an older one."""
        if self.version <= fetch.known_offset:
            return []
        return [PolicyState(self.version, self._record)]

    def take_state(self, state: PolicyState) -> None:
        """Take a record that a peer sent."""
        self.take(state.state, 'peer')

    def take(self, record: bytes, source: str) -> None:
        """Put a record into force if it is valid and newer."""
        try:
            policy = self._parser(record)
        except PolicyError as error:
            _log.warning('Record from {} not taken: {}.', source, error)
            return
        if policy.version <= self.version:
            return
        _log.info(
            'Version {} from {} replaces {}: {} routes.',
            policy.version,
            source,
            self.version,
            len(policy.routes),
        )
        self.table = RouteTable(policy)
        self._record = record
        events.policy_accepted.send(self, offset=policy.version)
        self._on_news()

    async def _read(self) -> None:
        if self._offset is None:
            page = await self._store.newest_policy()
        else:
            try:
                page = await self._store.follow_policy(self._offset, POLL_MS)
            except OvertakenError:
                self._offset = None
                return
        self._offset = page.next_offset
        for record in page.records:
            self.take(record, 'store')

    def _backoff_ms(self) -> float:
        pause_ms = self._retry_ms * self._rng.uniform(0.5, 1)
        self._retry_ms = min(self._retry_ms * 2, MAX_RETRY_MS)
        return pause_ms

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if self.is_store_reachable is is_reachable:
            return
        self.is_store_reachable = is_reachable
        _log.info('Store reachable: {} {}', is_reachable, detail)
