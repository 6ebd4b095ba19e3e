"""Discovery of other nodes through the store.

A node publishes its address once and reads those of others. It reads them
again at growing intervals, because heartbeats carry all membership updates
once it has peers.
"""

import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.log import part_logger
from bergamotmount.membership import Members
from bergamotmount.ports import LogError

#: Nodes that start together spread their first requests over this time.
START_JITTER_MS = 300

#: Initial and maximum interval between reads of the addresses, before
#: jitter, which up to doubles it.
READ_INTERVAL_MS = 1000
MAX_READ_INTERVAL_MS = 60_000

#: Minimum pause after an error of the store; jitter up to doubles it.
RETRY_MS = 500

_log = part_logger('directory')


class Directory:
    """Publishes the address of this node and finds those of others."""

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Publish the address of this node's entry in ``members``."""
        self._clock = clock
        self._store = store
        self._members = members
        self._rng = rng

    async def run(self, add_seeds: Callable[[Iterable[str]], None]) -> None:
        """Publish this node's address; pass others to ``add_seeds``.

        Addresses are read at growing intervals until cancelled.
        """
        await self._clock.sleep(self._rng.uniform(0, START_JITTER_MS))
        await self._retry_until_answered(self._publish)
        pause_ms = READ_INTERVAL_MS
        while True:
            addresses = await self._retry_until_answered(self._store.addresses)
            local_address = self._members.local.address
            add_seeds(
                each for each in addresses if each not in {'', local_address}
            )
            await self._clock.sleep(pause_ms * self._rng.uniform(1, 2))
            pause_ms = min(pause_ms * 4, MAX_READ_INTERVAL_MS)

    async def withdraw(self) -> None:
        """Remove this node's address from the store.

        A failure is only logged; the address then stays in the store.
        """
        try:
            await self._store.publish_address(self._members.local_node, '')
        except LogError as error:
            _log.info('Failed to remove own address from the store: {}.', error)

    async def _publish(self) -> None:
        local_member = self._members.local
        await self._store.publish_address(
            local_member.node, local_member.address
        )

    async def _retry_until_answered(self, request: Callable):
        while True:
            try:
                return await request()
            except LogError as error:
                _log.info('Store request failed, will be retried: {}.', error)
                pause_ms = RETRY_MS * self._rng.uniform(1, 2)
                await self._clock.sleep(pause_ms)
