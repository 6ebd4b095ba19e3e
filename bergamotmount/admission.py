"""Admission to one backend server: a limit and a short ordered queue.

Requests enter in order of rank. When the queue is full, the least important
entry is refused in favour of a more important one. An entry whose deadline
can't be met any more is refused at once, without waiting for the deadline::

    refusal = await admission.enter(rank, deadline_ms)
    if refusal is None:
        try:
            ...
        finally:
            admission.leave()
"""

import asyncio
import bisect
import dataclasses
import itertools
import random

from bergamotmount.clock import Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import OPEN_RANK
from bergamotmount.reasons import RefusalReason
from bergamotmount.threshold import ThresholdController

#: Queue places for each slot of the limit.
QUEUE_PER_SLOT = 3

#: Least number of queue places.
MIN_QUEUE = 8

#: Least wait that a refused caller is advised, in milliseconds.
MIN_RETRY_AFTER_MS = 100

#: Greatest wait that a refused caller is advised, in milliseconds.
MAX_RETRY_AFTER_MS = 5000

_PERMILLE = 1000


@dataclasses.dataclass(slots=True, order=True)
class _Waiter:
    order: float
    sequence: int
    deadline_ms: float = dataclasses.field(compare=False)
    admitted: asyncio.Future = dataclasses.field(compare=False)


class Admission:
    """Decides which requests go to the backend server, and when."""

    def __init__(
        self,
        clock: Clock,
        limit: ConcurrencyLimit,
        service_time: ServiceTime,
        controller: ThresholdController,
        rng: random.Random,
    ) -> None:
        """Guard the server that ``limit`` and ``service_time`` belong to."""
        self.service_time = service_time
        self.limit = limit
        self.in_flight = 0
        self._clock = clock
        self._controller = controller
        self._rng = rng
        self._waiters: list[_Waiter] = []
        self._sequence = itertools.count()

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._waiters)

    @property
    def load_permille(self) -> int:
        """Requests in flight and waiting, in thousandths of the limit."""
        return int(_PERMILLE * self._load())

    async def enter(
        self,
        rank: float,
        deadline_ms: float,
        is_inner: bool = False,
        is_repeat: bool = False,
        entry_threshold: float = OPEN_RANK,
    ) -> RefusalReason | None:
        """Wait for a place; return ``None`` when admitted, else the reason.

        ``deadline_ms`` is on this admission's clock. With ``is_inner`` the
        request belongs to work that has already begun, and goes before all
        of its level that has not. With ``is_repeat`` another server refused
        it before, so it is no new demand. ``entry_threshold`` is the rank up
        to which its entry let requests in. Whoever is admitted calls
        :meth:`leave` once. A task cancelled while it waits leaves the queue
        by itself.
        """
        if not is_repeat:
            self._controller.arrived(rank, self._load(), entry_threshold)
        order = _order_of(rank, is_inner)
        limit = self.limit.current()
        if not limit:
            return RefusalReason.NOT_SERVING
        has_room = self.in_flight < limit
        ahead = 0 if has_room else self._ahead_of(order)
        if not self._can_finish(deadline_ms, ahead):
            return RefusalReason.DEADLINE_TOO_CLOSE
        if has_room and not self._waiters:
            self.in_flight += 1
            return None
        if not self._make_room(order):
            return RefusalReason.QUEUE_FULL
        return await self._wait(order, deadline_ms)

    def leave(self) -> None:
        """Give the place back and admit the next requests in order."""
        self.in_flight -= 1
        self._controller.completed(self._load())
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting requests as far as the limit allows."""
        while self._waiters and self.in_flight < self.limit.current():
            waiter = self._waiters.pop(0)
            if waiter.admitted.done():
                continue
            if self._can_finish(waiter.deadline_ms, 0):
                self.in_flight += 1
                waiter.admitted.set_result(None)
            else:
                waiter.admitted.set_result(RefusalReason.DEADLINE_TOO_CLOSE)

    def refuse_waiting(self, reason: RefusalReason) -> None:
        """Refuse everything that waits, for instance when draining."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.admitted.done():
                waiter.admitted.set_result(reason)

    def retry_after_ms(self) -> int:
        """Return when a refused caller should come back, with jitter.

        The advice is the time to work off what is in hand, stretched by how
        far the threshold is closed.
        """
        work = self.in_flight + self.queued + 1
        rounds = work / max(self.limit.current(), 1)
        drain_ms = rounds * self.service_time.current_ms()
        advice_ms = drain_ms * self._controller.pressure()
        bounded_ms = min(max(advice_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return int(bounded_ms * self._rng.uniform(1, 2))

    async def _wait(
        self,
        order: float,
        deadline_ms: float,
    ) -> RefusalReason | None:
        admitted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(order, next(self._sequence), deadline_ms, admitted)
        bisect.insort(self._waiters, waiter)
        self.admit_waiting()
        try:
            async with self._clock.timeout(self._patience_ms(deadline_ms)):
                return await admitted
        except TimeoutError:
            self._forget(waiter)
            return RefusalReason.DEADLINE_TOO_CLOSE
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def _patience_ms(self, deadline_ms: float) -> float:
        # Whoever waits longer gets its answer too late.
        least_ms = self.service_time.current_ms()
        return deadline_ms - self._clock.now_ms() - least_ms

    def _forget(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif _was_admitted(waiter.admitted):
            self.leave()

    def _make_room(self, order: float) -> bool:
        if len(self._waiters) < self._queue_bound():
            return True
        last = self._waiters[-1]
        if last.order <= order:
            return False
        self._waiters.pop()
        if not last.admitted.done():
            last.admitted.set_result(RefusalReason.EVICTED)
        return True

    def _ahead_of(self, order: float) -> int:
        ahead = bisect.bisect_right(
            self._waiters,
            order,
            key=lambda waiter: waiter.order,
        )
        return ahead + 1

    def _can_finish(self, deadline_ms: float, ahead: int) -> bool:
        service_ms = self.service_time.current_ms()
        finish_ms = self._clock.now_ms() + service_ms
        if ahead:
            finish_ms += ahead * service_ms / max(self.limit.current(), 1)
        return finish_ms < deadline_ms

    def _queue_bound(self) -> int:
        return max(MIN_QUEUE, self.limit.current() * QUEUE_PER_SLOT)

    def _load(self) -> float:
        work = self.in_flight + len(self._waiters)
        return work / max(self.limit.current(), 1)


def _order_of(rank: float, is_inner: bool) -> float:
    """Return the order in the queue: by level, begun work first in each."""
    level = int(rank)
    within = (rank - level) / 2
    return level + within if is_inner else level + 0.5 + within


def _was_admitted(admitted: asyncio.Future) -> bool:
    return (
        admitted.done()
        and not admitted.cancelled()
        and admitted.result() is None
    )
