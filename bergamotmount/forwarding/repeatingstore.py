"""Store whose requests don't wait on one connection only.

A connection can go silent for good while new ones work. A request that stays
without an answer is sent again on a new connection. The earlier one isn't given
up: a slow store answers it first, and what comes first counts. All requests are
idempotent: reads, and writes of a whole entry.

Load pattern: the connections of all nodes to the store go silent at once, or
the store becomes slow. A slow store isn't asked more often: the time without an
answer that counts as silence grows with the time that the last answer took.
"""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import TypeVar

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.forwarding.store import (
    KeyedStore,
    StoreEntries,
    StoreEra,
    StorePage,
)
from bergamotmount.log import part_logger
from bergamotmount.member import Member

#: Maximum number of times that a request is sent.
MAX_SENDS = 3

#: Silence of a store that is slow to answer, as a multiple of the time that its
#: last answer took.
SLOW_ANSWER_FACTOR = 2

_Answer = TypeVar('_Answer')

_Request = Callable[[], Coroutine[None, None, _Answer]]

_log = part_logger('store')


class RepeatingStore:
    """Implementation of ``KeyedStore`` that repeats unanswered requests.

    Each request of ``store`` has to use a connection of its own.
    """

    def __init__(
        self, clock: Clock, store: KeyedStore, silence_ms: float
    ) -> None:
        """Send a request again after ``silence_ms`` without an answer."""
        self._clock = clock
        self._store = store
        self._silence_ms = silence_ms
        self._answer_ms: float = 0

    @property
    def era(self) -> StoreEra:
        """Highest era that any answer has shown."""
        return self._store.era

    async def newest_policy(self) -> StorePage:
        """Return the newest policy record, if there is one."""
        return await self._ask(self._store.newest_policy)

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Return the records from an offset on; wait if there are none.

        The repeated request doesn't wait.
        """
        follow = functools.partial(self._store.follow_policy, offset)
        if not wait_ms:
            return await self._ask(functools.partial(follow, 0))
        waiting = asyncio.ensure_future(follow(wait_ms))
        try:
            limit_ms = wait_ms + self._patience_ms
            await asyncio.wait((waiting,), timeout=limit_ms / MS_PER_SECOND)
            if waiting.done():
                return waiting.result()
            return await self._ask(functools.partial(follow, 0))
        finally:
            waiting.cancel()

    async def publish_member(self, member: Member, settled_era: int) -> None:
        """Publish where a node is found, and its incarnation."""
        await self._ask(
            functools.partial(self._store.publish_member, member, settled_era)
        )

    async def remove_member(self, node: str) -> None:
        """Remove the entry of a node."""
        await self._ask(functools.partial(self._store.remove_member, node))

    async def publish_crashes(
        self, fingerprint: int, servers: list[str]
    ) -> None:
        """Publish the servers that crashed under a quarantined request."""
        await self._ask(
            functools.partial(self._store.publish_crashes, fingerprint, servers)
        )

    async def remove_crashes(self, fingerprint: int) -> None:
        """Remove the crashes under a request."""
        await self._ask(
            functools.partial(self._store.remove_crashes, fingerprint)
        )

    async def entries(self) -> StoreEntries:
        """Return all that nodes have published."""
        return await self._ask(self._store.entries)

    @property
    def _patience_ms(self) -> float:
        """Time without an answer after which a request is sent again."""
        return max(self._silence_ms, self._answer_ms * SLOW_ANSWER_FACTOR)

    async def _ask(self, request: _Request) -> _Answer:
        """Return the first answer to a request that is sent up to three times.

        An error that the first answer brings is raised.
        """
        sent: set[asyncio.Task[_Answer]] = set()
        started_ms = self._clock.now_ms()
        try:
            answered = await self._send_until_answered(request, sent)
        finally:
            for each in sent:
                each.cancel()
        self._answer_ms = self._clock.now_ms() - started_ms
        return answered.result()

    async def _send_until_answered(
        self, request: _Request, sent: set[asyncio.Task]
    ) -> asyncio.Task:
        for number in range(1, MAX_SENDS + 1):
            sent.add(asyncio.ensure_future(request()))
            is_last = number == MAX_SENDS
            limit_s = None if is_last else self._patience_ms / MS_PER_SECOND
            done, _ = await asyncio.wait(
                sent, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                break
            _log.info('No answer of the store: request is sent again.')
        answered = [each for each in done if each.exception() is None]
        return answered[0] if answered else done.pop()
