"""Repeater: sends an unanswered request again on another connection.

A connection can go silent for good while new ones work. A request that stays
without an answer is sent again. The earlier one isn't given up: a slow service
answers it first, and what comes first counts. Requests have to be idempotent,
and each has to use a connection of its own::

    repeater = Repeater(clock, silence_ms=300)
    page = await repeater.ask(read_page)

Load pattern: the connections of all nodes to a service go silent at once, or
the service becomes slow. A slow one isn't asked more often: the time without an
answer that counts as silence grows with the time that the last answer took.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeVar

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.log import part_logger

#: Maximum number of times that a request is sent.
MAX_SENDS = 3

#: Silence of a service that is slow to answer, as a multiple of the time that
#: its last answer took.
SLOW_ANSWER_FACTOR = 2

_Answer = TypeVar('_Answer')

Request = Callable[[], Coroutine[None, None, _Answer]]

_log = part_logger('store')


class Repeater:
    """Asks one service."""

    def __init__(self, clock: Clock, silence_ms: float) -> None:
        """Send a request again after ``silence_ms`` without an answer."""
        self._clock = clock
        self._silence_ms = silence_ms
        self._answer_ms: float = 0

    async def ask(self, request: Request) -> _Answer:
        """Return the first answer to a request that is sent up to three times.

        An error that the first answer brings is raised.
        """
        started_ms = self._clock.now_ms()
        sent: set[asyncio.Task[_Answer]] = set()
        try:
            answered = await self._send_until_answered(request, sent)
        finally:
            for each in sent:
                each.cancel()
        self._answer_ms = self._clock.now_ms() - started_ms
        return answered.result()

    async def ask_waiting(
        self, waiting: Request, repeated: Request, wait_ms: float
    ) -> _Answer:
        """Return the answer to a request that waits for something to happen.

        If it is silent for longer than it waits, ``repeated`` is asked, which
        doesn't wait.
        """
        sent = asyncio.ensure_future(waiting())
        limit_ms = wait_ms + self._patience_ms
        try:
            await asyncio.wait((sent,), timeout=limit_ms / MS_PER_SECOND)
            if sent.done():
                return sent.result()
            return await self.ask(repeated)
        finally:
            sent.cancel()

    @property
    def _patience_ms(self) -> float:
        """Time without an answer after which a request is sent again."""
        return max(self._silence_ms, self._answer_ms * SLOW_ANSWER_FACTOR)

    async def _send_until_answered(
        self, request: Request, sent: set[asyncio.Task]
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
            _log.info('No answer: request is sent again.')
        answered = [each for each in done if each.exception() is None]
        return answered[0] if answered else done.pop()
