"""Joining through the log: nodes publish their addresses in a stream.

Seeds from the settings are the other way to join; either one is sufficient.
"""

import json
import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.fieldchecks import is_address
from bergamotmount.jsoninput import load_json
from bergamotmount.membership import Members
from bergamotmount.ports import LogError, LogService

#: Stream in which nodes publish their addresses.
MEMBERSHIP_STREAM = 'membership'

#: Window over which starting nodes spread their first append at random.
START_JITTER_MS = 2000

#: Minimum interval at which a node appends its address again.
RENEW_INTERVAL_MS = 600_000

#: Base of the backoff after an error of the log, and the maximum number of
#: times it doubles.
RETRY_BACKOFF_MS = 1000
MAX_BACKOFF_DOUBLINGS = 5


class LogJoin:
    """Publishes this node's address in the log and discovers other nodes."""

    def __init__(
        self,
        clock: Clock,
        log: LogService,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Publish the address of the local member of ``members``."""
        self._clock = clock
        self._log = log
        self._members = members
        self._rng = rng
        self._next_offset = 0

    async def run(self, on_addresses: Callable[[Iterable[str]], None]) -> None:
        """Publish the local address and read the others until cancelled.

        ``on_addresses`` is called with the addresses read in each pass.
        """
        failures = 0
        await self._clock.sleep(self._rng.uniform(0, START_JITTER_MS))
        while True:
            try:
                await self._append_local_address()
                on_addresses(await self._read_addresses())
            except LogError:
                failures += 1
                doublings = min(failures, MAX_BACKOFF_DOUBLINGS)
                pause_ms = RETRY_BACKOFF_MS * (1 << doublings)
            else:
                failures = 0
                pause_ms = RENEW_INTERVAL_MS
            await self._clock.sleep(pause_ms * self._rng.uniform(1, 2))

    async def _append_local_address(self) -> None:
        local = self._members.local
        entry = {'node': local.node, 'address': local.address}
        await self._log.append(MEMBERSHIP_STREAM, json.dumps(entry).encode())

    async def _read_addresses(self) -> set[str]:
        addresses: set[str] = set()
        while True:
            page = await self._log.read(
                MEMBERSHIP_STREAM,
                self._next_offset,
                0,
            )
            if not page.records:
                return addresses - {self._members.local.address, ''}
            self._next_offset = page.next_offset
            addresses.update(
                parse_address(record.body) for record in page.records
            )


def parse_address(raw: bytes) -> str:
    """Return the address in an entry, empty if it can't be dialled."""
    try:
        address = load_json(raw)['address']
    except (ValueError, KeyError, TypeError):
        return ''
    is_usable = isinstance(address, str) and is_address(address)
    return address if is_usable else ''
