"""Time in milliseconds.

All decisions take time from one :class:`Clock`, so that tests run them under
virtual time and a program that embeds the parts may bring its own::

    clock = Clock()
    started_ms = clock.now_ms()
    await clock.sleep(20)
    elapsed_ms = clock.now_ms() - started_ms
"""

import asyncio
import time
from collections.abc import Callable

MS_PER_SECOND = 1000


class Clock:
    """Clock of the host that also counts time spent suspended.

    Ticket expiry and leases depend on that: a process that was frozen, or
    whose host slept, must see on waking how much time went by.
    """

    def __init__(self) -> None:
        """Fix the relation between wall time and this clock."""
        self._wall_at_zero_ms = time.time() * MS_PER_SECOND - self.now_ms()

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary start; never steps back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; never steps back.

        The offset to wall time is read once, so an administrator who sets
        the host's clock back cannot make an expired ticket valid again.
        """
        return int(self._wall_at_zero_ms + self.now_ms())

    def turn_ms(self) -> float:
        """Return when the present turn of the event loop began.

        All that is handled in one turn came at the same time, as far as can
        be told; the order in which it is handled says nothing.
        """
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(duration_ms, 0) / MS_PER_SECOND)

    def call_later(
        self,
        delay_ms: float,
        callback: Callable,
        *arguments: object,
    ) -> asyncio.TimerHandle:
        """Call a function after a delay; the handle can cancel that."""
        loop = asyncio.get_running_loop()
        delay_s = max(delay_ms, 0) / MS_PER_SECOND
        return loop.call_later(delay_s, callback, *arguments)

    def timeout(self, duration_ms: float) -> asyncio.Timeout:
        """Return a context that raises ``TimeoutError`` after a duration.

        ::

            async with clock.timeout(250):
                await answer
        """
        return asyncio.timeout(max(duration_ms, 0) / MS_PER_SECOND)


class LoopClock(Clock):
    """Clock that follows the running event loop, for virtual time."""

    def now_ms(self) -> float:
        """Return the event loop's time in milliseconds."""
        try:
            return asyncio.get_running_loop().time() * MS_PER_SECOND
        except RuntimeError:
            return 0
