"""Store whose requests don't wait on one connection only.

Each is repeated on another connection while it is unanswered. All of them are
idempotent: reads, and writes of a whole entry.
"""

import functools

from bergamotmount.clock import Clock
from bergamotmount.forwarding.store import (
    KeyedStore,
    StoreEntries,
    StoreEra,
    StorePage,
)
from bergamotmount.member import Member
from bergamotmount.repeater import Repeater


class RepeatingStore:
    """Implementation of ``KeyedStore`` that repeats unanswered requests.

    Each request of ``store`` has to use a connection of its own.
    """

    def __init__(
        self, clock: Clock, store: KeyedStore, silence_ms: float
    ) -> None:
        """Send a request again after ``silence_ms`` without an answer."""
        self._store = store
        self._repeater = Repeater(clock, silence_ms)

    @property
    def era(self) -> StoreEra:
        """Highest era that any answer has shown."""
        return self._store.era

    async def newest_policy(self) -> StorePage:
        """Return the newest policy record, if there is one."""
        return await self._repeater.ask(self._store.newest_policy)

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Return the records from an offset on; wait if there are none.

        The repeated request doesn't wait.
        """
        follow = functools.partial(self._store.follow_policy, offset)
        read = functools.partial(follow, 0)
        if not wait_ms:
            return await self._repeater.ask(read)
        poll = functools.partial(follow, wait_ms)
        return await self._repeater.ask_waiting(poll, read, wait_ms)

    async def publish_member(self, member: Member, settled_era: int) -> None:
        """Publish where a node is found, and its incarnation."""
        await self._repeater.ask(
            functools.partial(self._store.publish_member, member, settled_era)
        )

    async def remove_member(self, node: str) -> None:
        """Remove the entry of a node."""
        await self._repeater.ask(
            functools.partial(self._store.remove_member, node)
        )

    async def publish_crashes(
        self, fingerprint: int, servers: list[str]
    ) -> None:
        """Publish the servers that crashed under a quarantined request."""
        await self._repeater.ask(
            functools.partial(self._store.publish_crashes, fingerprint, servers)
        )

    async def remove_crashes(self, fingerprint: int) -> None:
        """Remove the crashes under a request."""
        await self._repeater.ask(
            functools.partial(self._store.remove_crashes, fingerprint)
        )

    async def entries(self) -> StoreEntries:
        """Return all that nodes have published."""
        return await self._repeater.ask(self._store.entries)
