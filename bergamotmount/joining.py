"""Joining through the log: nodes leave their address in a stream.

Seeds from the settings are the other way to join; either is enough.
"""

import json
import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.membership import Members
from bergamotmount.ports import LogError, LogService

#: Stream in which nodes leave their addresses.
MEMBERSHIP_STREAM = 'membership'

#: Time over which starting nodes spread their first append.
START_SPREAD_MS = 2000

#: How often a node leaves its address anew.
RENEW_MS = 600_000

#: Pause after an error of the log, and its greatest doubling.
RETRY_MS = 1000
MAX_DOUBLINGS = 5


class LogJoin:
    """Leaves this node's address in the log and finds those of others."""

    def __init__(
        self,
        clock: Clock,
        log: LogService,
        members: Members,
        rng: random.Random,
    ) -> None:
        """Join as the own member of ``members``."""
        self._clock = clock
        self._log = log
        self._members = members
        self._rng = rng
        self._next_offset = 0

    async def run(self, found: Callable[[Iterable[str]], None]) -> None:
        """Append and read now and then; hand addresses to ``found``."""
        failures = 0
        await self._clock.sleep(self._rng.uniform(0, START_SPREAD_MS))
        while True:
            try:
                await self._append_own()
                found(await self._read_addresses())
            except LogError:
                failures += 1
                doublings = min(failures, MAX_DOUBLINGS)
                pause_ms = RETRY_MS * (1 << doublings)
            else:
                failures = 0
                pause_ms = RENEW_MS
            await self._clock.sleep(pause_ms * self._rng.uniform(1, 2))

    async def _append_own(self) -> None:
        own = self._members.own
        entry = {'node': own.node, 'address': own.address}
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
                return addresses - {self._members.own.address, ''}
            self._next_offset = page.next_offset
            addresses.update(_address_in(each.body) for each in page.records)


def _address_in(raw: bytes) -> str:
    try:
        return str(json.loads(raw)['address'])
    except (ValueError, KeyError, TypeError):
        return ''
