"""Directory: how nodes find each other through the store.

A node leaves its address once and reads those of others until it has peers.
From then on heartbeats carry all news of members.
"""

import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.log import part_logger
from bergamotmount.membership import Members
from bergamotmount.ports import LogError

#: Time over which nodes that start together spread their calls.
START_SPREAD_MS = 300

#: First pause before addresses are read again, and its greatest doubling.
READ_AGAIN_MS = 1000
MAX_READ_AGAIN_MS = 60_000

#: Pause after an error of the store.
RETRY_MS = 500

_log = part_logger('directory')


class Directory:
    """Leaves the own address and finds those of others."""

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Join as the own member of ``members``."""
        self._clock = clock
        self._store = store
        self._members = members
        self._rng = rng

    async def run(self, add_seeds: Callable[[Iterable[str]], None]) -> None:
        """Join, then look again at growing intervals, until cancelled."""
        await self._clock.sleep(self._rng.uniform(0, START_SPREAD_MS))
        await self._insist(self._leave)
        pause_ms = READ_AGAIN_MS
        while True:
            addresses = await self._insist(self._store.addresses)
            own = self._members.local.address
            add_seeds(each for each in addresses if each not in {'', own})
            await self._clock.sleep(pause_ms * self._rng.uniform(1, 2))
            pause_ms = min(pause_ms * 4, MAX_READ_AGAIN_MS)

    async def withdraw(self) -> None:
        """Remove the own address; a failure only leaves it behind."""
        try:
            await self._store.leave_address(self._members.local_node, '')
        except LogError as error:
            _log.info('Own address not removed: {}.', error)

    async def _leave(self) -> None:
        own = self._members.local
        await self._store.leave_address(own.node, own.address)

    async def _insist(self, request: Callable):
        while True:
            try:
                return await request()
            except LogError as error:
                _log.info('Store gave no answer: {}.', error)
                pause_ms = RETRY_MS * self._rng.uniform(1, 2)
                await self._clock.sleep(pause_ms)
