"""Keeps the crashes under quarantined requests in the store.

Nodes keep nothing: when all of them restart, only the store still tells which
requests must not be sent. The nodes beside the servers that crashed write to
it; all nodes read it when they start, together with the entries of the others.
"""

import random
from collections.abc import Iterable

from bergamotmount.clock import Clock
from bergamotmount.forwarding.directory import RETRY_MS
from bergamotmount.forwarding.poisonrequests import PoisonRequests
from bergamotmount.forwarding.store import KeyedStore
from bergamotmount.log import part_logger
from bergamotmount.ports import LogError

_log = part_logger('quarantine')


class CrashPublisher:
    """Writes changes of quarantined requests into the store."""

    def __init__(
        self,
        clock: Clock,
        store: KeyedStore,
        poison_requests: PoisonRequests,
        rng: random.Random,
    ) -> None:
        """Write for the node that ``poison_requests`` belongs to."""
        self._clock = clock
        self._store = store
        self._poison_requests = poison_requests
        self._rng = rng

    async def run(self) -> None:
        """Write each change until cancelled."""
        unpublished = self._poison_requests.unpublished
        while True:
            fingerprint = await unpublished.get()
            servers = self._poison_requests.quarantined_by(fingerprint)
            try:
                await self._write(fingerprint, servers)
            except LogError as error:
                _log.info('Store request failed, will be retried: {}.', error)
                unpublished.put_nowait(fingerprint)
                await self._clock.sleep(RETRY_MS * self._rng.uniform(1, 2))

    async def _write(self, fingerprint: int, servers: Iterable[str]) -> None:
        servers = sorted(servers)
        if servers:
            await self._store.publish_crashes(fingerprint, servers)
        else:
            await self._store.remove_crashes(fingerprint)
        _log.info(
            'Crashes under request {:016x} in the store: {}.',
            fingerprint,
            ', '.join(servers) or 'removed',
        )
