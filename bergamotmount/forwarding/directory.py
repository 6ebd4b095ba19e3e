"""Discovery of other nodes through the store.

A node publishes its entry once and reads those of the others. It rarely reads
them again, because heartbeats carry all later changes.

Load pattern: all nodes of a deployment start within a second. A node that
knows the whole table from the store needs no updates about the others. A store
that comes back from an older copy has lost entries; all nodes publish theirs
again, spread over the time that its rates require.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.forwarding.storesettlement import StoreSettlement
from bergamotmount.log import part_logger
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.ports import LogError
from bergamotmount.reports import CrashReport

#: Nodes that start together spread their first requests over this time.
START_JITTER_MS = 300

#: Time after the first read at which the entries are read a second time, to
#: find nodes that started at the same time, and the interval of later reads.
#: Jitter up to doubles both.
SECOND_READ_MS = 1000
READ_INTERVAL_MS = 60_000

#: Time over which nodes spread the second publication of their entries after
#: the store came back from an older copy.
RESTORE_JITTER_MS = 700

#: Minimum pause after an error of the store; jitter up to doubles it.
RETRY_MS = 500

_log = part_logger('directory')


class Directory:
    """Publishes the entry of this node and finds those of others.

    ``has_read`` tells that the entries have been read at least once.
    """

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        members: Members,
        rng: random.Random,
        learn_crashes: Callable[[Iterable[CrashReport]], None],
        settlement: StoreSettlement,
        is_first_start: bool = False,
    ) -> None:
        """Publish the local member of ``members``.

        ``learn_crashes`` gets the crashes under requests that the first read
        shows. ``settlement`` gets the eras of the store in the entries, which
        other nodes took for settled; the own entry says what it knows.

        At the first start of the whole deployment, ``is_first_start``, the
        other entries are read once they have been published. Later the first
        read comes before the own entry takes the place of an earlier one.
        """
        self._clock = clock
        self._store = store
        self._members = members
        self._rng = rng
        self._learn_crashes = learn_crashes
        self._settlement = settlement
        self._is_first_start = is_first_start
        self.has_read = False
        self._published_era = 0
        self._published_settled_era = 0

    async def run(self, announce: Callable[[Member], None]) -> None:
        """Publish this node's entry and read the others until cancelled.

        ``announce`` is called with the local member after each read, so that
        nodes which were just found learn of it.
        """
        await self._clock.sleep(self._rng.uniform(0, START_JITTER_MS))
        if not self._is_first_start:
            await self._read()
        await self._retry_until_answered(self._publish)
        if not self._is_first_start:
            await self._read()
            announce(self._members.local)
        await self._publish_again_while_waiting(SECOND_READ_MS)
        while True:
            await self._read()
            announce(self._members.local)
            await self._publish_again_while_waiting(READ_INTERVAL_MS)

    async def withdraw(self) -> None:
        """Remove this node's entry from the store.

        A failure is only logged; the entry then stays in the store.
        """
        try:
            await self._store.remove_member(self._members.local_node)
        except LogError as error:
            _log.info('Failed to remove own entry from the store: {}.', error)

    async def _publish(self) -> None:
        settled_era = self._settlement.settled_era
        await self._store.publish_member(self._members.local, settled_era)
        self._published_era = self._store.era.current
        self._published_settled_era = settled_era

    async def _publish_again_while_waiting(self, pause_ms: float) -> None:
        """Wait; publish the entry again if it is lost or outdated.

        The store has lost it after a restore. It is outdated once a later era
        is settled.
        """
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout(pause_ms * self._rng.uniform(1, 2)):
                while True:
                    await self._wait_outdated()
                    _log.info('Own entry is published again.')
                    await self._clock.sleep(
                        self._rng.uniform(0, RESTORE_JITTER_MS)
                    )
                    await self._retry_until_answered(self._publish)

    async def _wait_outdated(self) -> None:
        tasks = [
            asyncio.ensure_future(waiting)
            for waiting in (
                self._store.era.wait_past(self._published_era),
                self._settlement.wait_past(self._published_settled_era),
            )
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _read(self) -> None:
        entries = await self._retry_until_answered(self._store.entries)
        self._members.learn(entries.members)
        self._settlement.learn(entries.settled_era)
        if not self.has_read:
            # Peers tell of all later crashes, and with their age.
            self.has_read = True
            self._learn_crashes(entries.crashes)

    async def _pause(self, pause_ms: float) -> None:
        await self._clock.sleep(pause_ms * self._rng.uniform(1, 2))

    async def _retry_until_answered(self, request: Callable):
        while True:
            try:
                return await request()
            except LogError as error:
                _log.info('Store request failed, will be retried: {}.', error)
                await self._pause(RETRY_MS)
