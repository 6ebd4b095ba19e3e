"""Admission to one backend server: limits and a priority queue.

The number of concurrent requests is limited, and their rate too if the server
states one. Requests are admitted in order of rank. When the queue is full, a
more important request evicts the least important one in the queue. A request
whose deadline can no longer be met is refused without waiting for it::

    refusal = await admission.acquire(rank, deadline_ms)
    if refusal is None:
        try:
            ...
        finally:
            admission.release()
"""

import asyncio
import bisect
import dataclasses
import itertools
import random

from bergamotmount.clock import Clock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.reasons import RefusalReason
from bergamotmount.threshold import ThresholdController

#: Queue capacity for each slot of the concurrency limit.
QUEUE_PER_SLOT = 3

#: Minimum queue capacity.
MIN_QUEUE = 8

#: Maximum time in the queue for the server's rate limit: beyond it another
#: server is likely to answer sooner.
MAX_RATE_WAIT_MS = 200

#: Lower bound of the retry-after advice, before jitter.
MIN_RETRY_AFTER_MS = 100

#: Upper bound of the retry-after advice, before jitter.
MAX_RETRY_AFTER_MS = 5000

_PERMILLE = 1000


@dataclasses.dataclass(slots=True, order=True)
class _Waiter:
    """Request in the queue; its decision is ``None`` or a refusal."""

    order: float
    sequence: int
    deadline_ms: float = dataclasses.field(compare=False)
    service_ms: float = dataclasses.field(compare=False)
    decision: asyncio.Future = dataclasses.field(compare=False)


class Admission:
    """Decides which requests the backend server receives, and when."""

    def __init__(
        self,
        clock: Clock,
        limit: ConcurrencyLimit,
        service_time: ServiceTime,
        controller: ThresholdController,
        rng: random.Random,
    ) -> None:
        """Control access to the server that the arguments describe.

        The queue is empty at the start; ``rng`` adds jitter to the
        retry-after advice.
        """
        self.service_time = service_time
        self.limit = limit
        self._rate_limit = limit.rate
        self.in_flight = 0
        self._clock = clock
        self._controller = controller
        self._rng = rng
        self._waiters: list[_Waiter] = []
        self._sequence = itertools.count()
        self._refill_timer: asyncio.TimerHandle | None = None

    @property
    def queued(self) -> int:
        """Number of requests that wait in the queue."""
        return len(self._waiters)

    @property
    def load_permille(self) -> int:
        """Use of the tighter of both limits, in thousandths of it."""
        rate_load = self._rate_limit.load(self.queued)
        return int(_PERMILLE * max(self._load(), rate_load))

    async def acquire(
        self,
        rank: float,
        deadline_ms: float,
        is_nested: bool = False,
        is_retry: bool = False,
        entry_threshold: float = ADMIT_ALL_RANK,
        operation: str = '',
    ) -> RefusalReason | None:
        """Wait for a slot; return ``None`` if admitted, else the reason.

        ``deadline_ms`` is an absolute time on the clock of this admission.
        ``is_nested`` marks a call on behalf of a request that is already in
        progress; it precedes all other requests of its level. ``is_retry``
        marks a request that another server has refused before; it doesn't
        count as new demand. ``entry_threshold`` is the threshold that the
        entry node applied to the root request. Whether the deadline can be met
        is judged by the service time of ``operation``.

        An admitted request must call :meth:`release` exactly once. A task
        that is cancelled while it waits is removed from the queue.
        """
        if not is_retry:
            self._controller.record_arrival(rank, self._load(), entry_threshold)
        order = _order_of(rank, is_nested)
        limit = self.limit.current()
        if not limit:
            return RefusalReason.NOT_SERVING
        has_room = self._has_room()
        position = 0 if has_room else self._position_of(order)
        service_ms = self.service_time.expected_ms(operation)
        if not self._can_finish(deadline_ms, service_ms, position):
            return RefusalReason.DEADLINE_TOO_CLOSE
        if has_room and not self._waiters:
            self._admit()
            return None
        if self._rate_limit.wait_ms(position) > MAX_RATE_WAIT_MS:
            return RefusalReason.RATE_LIMITED
        if not self._make_room(order):
            return RefusalReason.QUEUE_FULL
        return await self._wait(order, deadline_ms, service_ms)

    def release(self) -> None:
        """Release a slot and admit queued requests in order."""
        self.in_flight -= 1
        self._controller.record_completion(self._load())
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit queued requests until a limit is reached.

        Queued requests that can no longer meet their deadline are refused.
        """
        while self._waiters and self._has_room():
            waiter = self._waiters.pop(0)
            if waiter.decision.done():
                continue
            if self._can_finish(waiter.deadline_ms, waiter.service_ms):
                self._admit()
                waiter.decision.set_result(None)
            else:
                waiter.decision.set_result(RefusalReason.DEADLINE_TOO_CLOSE)
        self._schedule_refill()

    def refuse_waiting(self, reason: RefusalReason) -> None:
        """Refuse all queued requests, for instance during a drain."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.decision.done():
                waiter.decision.set_result(reason)

    def retry_after_ms(self) -> int:
        """Return how long a refused caller should wait, with jitter.

        The advice is the time to finish the requests in flight and queued,
        multiplied by a factor that grows as the threshold falls, and at least
        the wait for the rate limit.
        """
        pending = self.in_flight + self.queued + 1
        rounds = pending / max(self.limit.current(), 1)
        backlog_ms = rounds * self.service_time.current_ms()
        advice_ms = backlog_ms * self._controller.retry_after_factor()
        advice_ms = max(advice_ms, self._rate_limit.wait_ms(self.queued + 1))
        bounded_ms = min(max(advice_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return int(bounded_ms * self._rng.uniform(1, 2))

    def _has_room(self) -> bool:
        is_below_limit = self.in_flight < self.limit.current()
        return is_below_limit and self._rate_limit.has_token()

    def _admit(self) -> None:
        self.in_flight += 1
        self._rate_limit.take()

    def _schedule_refill(self) -> None:
        """Admit again when the rate limit allows the next request."""
        if not self._waiters or self._refill_timer is not None:
            return
        wait_ms = self._rate_limit.wait_ms()
        if wait_ms:
            self._refill_timer = self._clock.call_later(
                wait_ms, self._admit_after_refill
            )

    def _admit_after_refill(self) -> None:
        self._refill_timer = None
        self.admit_waiting()

    async def _wait(
        self,
        order: float,
        deadline_ms: float,
        service_ms: float,
    ) -> RefusalReason | None:
        decision = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            order, next(self._sequence), deadline_ms, service_ms, decision
        )
        bisect.insort(self._waiters, waiter)
        self.admit_waiting()
        try:
            # After a longer wait the answer would miss the deadline.
            max_wait_ms = deadline_ms - self._clock.now_ms() - service_ms
            async with self._clock.timeout(max_wait_ms):
                return await decision
        except TimeoutError:
            self._abandon(waiter)
            return RefusalReason.DEADLINE_TOO_CLOSE
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif _was_admitted(waiter.decision):
            self.release()

    def _make_room(self, order: float) -> bool:
        if len(self._waiters) < self._queue_capacity():
            return True
        last = self._waiters[-1]
        if last.order <= order:
            return False
        self._waiters.pop()
        if not last.decision.done():
            last.decision.set_result(RefusalReason.EVICTED)
        return True

    def _position_of(self, order: float) -> int:
        ahead = bisect.bisect_right(
            self._waiters,
            order,
            key=lambda waiter: waiter.order,
        )
        return ahead + 1

    def _can_finish(
        self, deadline_ms: float, service_ms: float, position: int = 0
    ) -> bool:
        finish_ms = self._clock.now_ms() + service_ms
        if position:
            mean_ms = self.service_time.current_ms()
            finish_ms += position * mean_ms / max(self.limit.current(), 1)
        return finish_ms < deadline_ms

    def _queue_capacity(self) -> int:
        return max(MIN_QUEUE, self.limit.current() * QUEUE_PER_SLOT)

    def _load(self) -> float:
        pending = self.in_flight + len(self._waiters)
        return pending / max(self.limit.current(), 1)


def _order_of(rank: float, is_nested: bool) -> float:
    """Return the sort key in the queue: by level, nested calls first."""
    level = int(rank)
    within = (rank - level) / 2
    return level + within if is_nested else level + 0.5 + within


def _was_admitted(decision: asyncio.Future) -> bool:
    return (
        decision.done()
        and not decision.cancelled()
        and decision.result() is None
    )
