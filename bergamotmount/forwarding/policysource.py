"""Source of a node's route policy: the store, or peers.

The active version never decreases while the process runs. A node that can't
read the store detects a newer version in a heartbeat and fetches the record
from its sender.

A store that comes back from an older copy may show an older version. The
active one stays in force until a newer one is published, and a node that
starts then gets it from its peers, so that all nodes apply the same policy.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Mapping

from bergamotmount import events
from bergamotmount.clock import Clock
from bergamotmount.forwarding.routetable import RoutePolicy, RouteTable
from bergamotmount.forwarding.store import (
    KeyedStore,
    OffsetExpiredError,
    StorePage,
    store_backoff_ms,
)
from bergamotmount.forwarding.storesettlement import StoreSettlement
from bergamotmount.log import part_logger
from bergamotmount.messages import (
    Message,
    PolicyFetch,
    PolicyState,
)
from bergamotmount.organisations.freshness import PolicyFreshness
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.ports import LogError
from bergamotmount.reports import PolicyEvidence

#: Time for which a read of the store waits for a newer record.
LONG_POLL_MS = 20_000

_log = part_logger('policy')


class PolicyError(Exception):
    """A record doesn't contain a valid policy."""


#: Decodes a policy record; raises :class:`PolicyError` when it is invalid.
PolicyParser = Callable[[bytes], RoutePolicy]


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    """Where to read next: an offset, and the era in which it is valid."""

    offset: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySourceDependencies:
    """Objects of the node that a source uses.

    ``on_update`` is called after each new version, ``on_check`` after each
    read that was made to check the version. ``freshness`` gets the
    evidence that the active version is the newest, which the store gives only
    in an era that is settled.
    """

    store: KeyedStore
    parser: PolicyParser
    on_update: Callable[[], None]
    on_check: Callable[[], None]
    freshness: PolicyFreshness
    settlement: StoreSettlement


class RoutePolicySource:
    """Holds the newest valid route policy that this node has received."""

    def __init__(
        self,
        clock: Clock,
        deps: PolicySourceDependencies,
        rng: random.Random,
        silence_ms: float,
    ) -> None:
        """Start without a policy.

        A long poll that lacks a known version for ``silence_ms`` is replaced.
        """
        self.table: RouteTable | None = None
        self.is_store_reachable: bool | None = None
        #: Whether the long poll has failed, and pauses before its next try.
        self.is_retrying = False
        #: Latest time of sending a read that has shown all records.
        self.answered_ms = -math.inf
        self._has_table = asyncio.Event()
        self._record = b''
        self._clock = clock
        self._store = deps.store
        self._parser = deps.parser
        self._on_update = deps.on_update
        self._on_check = deps.on_check
        self._freshness = deps.freshness
        self._settlement = deps.settlement
        self.has_unreadable_record = False
        self._silence_ms = silence_ms
        self._polled_version = -1
        self._poll_is_silent = asyncio.Event()
        self._rejected_version = -1
        self._position: _Position | None = None
        self._rng = rng
        self._failures = 0

    @property
    def version(self) -> int:
        """Active version, -1 before the first policy."""
        return -1 if self.table is None else self.table.policy.version

    @property
    def has_keys(self) -> bool:
        """Whether requests need keys by the active policy."""
        return self.table is not None and self.table.key_ring is not None

    def organisation_by_name(self) -> Mapping[str, Organisation]:
        """Return the organisations that the active policy names."""
        return {} if self.table is None else self.table.organisation_by_name

    @property
    def evidence(self) -> PolicyEvidence | None:
        """What to pass on about the newest policy, ``None`` if nothing."""
        freshness = self._freshness
        if not self.has_keys or not freshness.is_required:
            return None
        age_ms = freshness.age_ms
        if age_ms >= freshness.lease_ms:
            return None
        return PolicyEvidence(self.version, math.ceil(age_ms))

    def services_of(self, route: str) -> tuple[str, ...]:
        """Return the services that run the requests of a route."""
        return () if self.table is None else self.table.services_of(route)

    async def first_table(self) -> RouteTable:
        """Return the active table; wait for it at the start of the process."""
        await self._has_table.wait()
        return self.table

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._read()
            except LogError as error:
                self._set_reachable(is_reachable=False, detail=str(error))
                self._failures += 1
                self.is_retrying = True
                await self._clock.sleep(
                    store_backoff_ms(self._failures, self._rng)
                )
                self.is_retrying = False
            else:
                self._failures = 0
                self._set_reachable(is_reachable=True, detail='')

    async def verify(self) -> None:
        """Read the store without waiting, for evidence on the policy.

        A long poll that lacks what was read is replaced: its connection has
        gone silent. Raise :class:`~bergamotmount.ports.LogError` if the store
        gives no answer.
        """
        position = self._position
        sent_ms = self._clock.now_ms()
        if position is None or position.era != self._store.era.current:
            page = await self._store.newest_policy()
        else:
            try:
                page = await self._store.follow_policy(position.offset, 0)
            except OffsetExpiredError:
                page = await self._store.newest_policy()
        version = self.version
        self._apply_page(page, sent_ms)
        if self.version > version:
            self._expect_poll_to_bring(self.version)
        self._on_check()

    def learn_evidence(
        self, evidence: PolicyEvidence | None, asked_ms: float | None
    ) -> None:
        """Use what a peer replied to a message sent at ``asked_ms``.

        It holds for the active policy too, unless that is older. The reply
        was written after the message was sent. A time that hasn't come yet is
        no time of this node's clock.
        """
        if evidence is None or asked_ms is None:
            return
        is_past = asked_ms <= self._clock.now_ms()
        if is_past and evidence.version <= self.version:
            self._freshness.record(asked_ms - evidence.age_ms)

    def fetch_if_behind(self, version: int) -> list[Message]:
        """Return a fetch request if a peer reports a newer version.

        What was rejected once isn't fetched again.
        """
        known = max(self.version, self._rejected_version)
        return [PolicyFetch(self.version)] if version > known else []

    def answer_fetch(self, fetch: PolicyFetch) -> list[Message]:
        """Return the active record for a peer, if the peer is behind."""
        if self.version <= fetch.known_offset:
            return []
        return [PolicyState(self.version, self._record)]

    def install_state(self, state: PolicyState) -> None:
        """Install the record of a peer if it is valid and newer."""
        version = self.version
        self.apply_record(state.state, 'peer')
        if self.version > version:
            self._expect_poll_to_bring(self.version)
        if self.version < state.offset:
            self._rejected_version = max(state.offset, self._rejected_version)

    def apply_record(self, record: bytes, source: str) -> None:
        """Activate a record if it is valid and newer."""
        try:
            policy = self._parser(record)
        except PolicyError as error:
            _log.warning('Policy record from {} rejected: {}.', source, error)
            self.has_unreadable_record = True
            return
        if policy.version <= self.version:
            if record != self._record:
                _log.info(
                    'Policy version {} from {} ignored: version {} is active.',
                    policy.version,
                    source,
                    self.version,
                )
            return
        _log.info(
            'Policy version {} from {} replaces version {}, last read of the '
            'store {:.0f} ms ago: {} routes.',
            policy.version,
            source,
            self.version,
            self._clock.now_ms() - self.answered_ms,
            len(policy.routes),
        )
        self.table = RouteTable(policy)
        self._has_table.set()
        self._record = record
        self.has_unreadable_record = False
        events.policy_accepted.send(self, offset=policy.version)
        self._on_update()

    async def _read(self) -> None:
        position = self._position
        sent_ms = self._clock.now_ms()
        if position is None or position.era != self._store.era.current:
            page = await self._store.newest_policy()
            self._position = _Position(page.next_offset, page.era)
        else:
            page = await self._follow(position)
        self._apply_page(page, sent_ms)
        self._polled_version = max(self.version, self._polled_version)

    def _expect_poll_to_bring(self, version: int) -> None:
        """Replace the long poll unless it soon brings a version, too."""
        self._clock.call_later(
            self._silence_ms, self._replace_silent_poll, version
        )

    def _replace_silent_poll(self, version: int) -> None:
        if self._polled_version < version:
            _log.info('Long poll without version {}: replaced.', version)
            self._poll_is_silent.set()

    def _apply_page(self, page: StorePage, sent_ms: float) -> None:
        for record in page.records:
            self.apply_record(record, 'store')
        if page.is_complete:
            self.answered_ms = max(sent_ms, self.answered_ms)
        self._settlement.observe(page.era)
        if self._is_evidence(page, sent_ms):
            self._freshness.record(sent_ms)

    def _is_evidence(self, page: StorePage, sent_ms: float) -> bool:
        """Return whether a page shows that the active policy is the newest.

        A store that has just come back from an older copy may still lack a
        record that was written before.
        """
        return (
            self._settlement.is_settled(sent_ms)
            and page.is_complete
            and not self.has_unreadable_record
            and self.table is not None
        )

    async def _follow(self, position: _Position) -> StorePage:
        """Return the next records; stop waiting when the era rises.

        Stop too when other sources have shown that the connection is silent.
        The first read after a failure doesn't wait: it tells at once that the
        store is back.
        """
        wait_ms = 0 if self._failures else LONG_POLL_MS
        self._poll_is_silent.clear()
        reading = asyncio.ensure_future(
            self._store.follow_policy(position.offset, wait_ms)
        )
        rising = asyncio.ensure_future(self._store.era.wait_past(position.era))
        replaced = asyncio.ensure_future(self._poll_is_silent.wait())
        try:
            await asyncio.wait(
                (reading, rising, replaced),
                return_when=asyncio.FIRST_COMPLETED,
            )
            page = reading.result() if reading.done() else None
        except OffsetExpiredError:
            page = None
        finally:
            for task in (reading, rising, replaced):
                task.cancel()
        if page is None:
            self._position = None
            return StorePage([], position.offset, position.era, False)
        self._position = _Position(page.next_offset, page.era)
        if page.era != position.era:
            # Records before this offset may have been given out again.
            self._position = None
        return page

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if self.is_store_reachable is is_reachable:
            return
        self.is_store_reachable = is_reachable
        _log.info('Store reachable: {} {}', is_reachable, detail)
