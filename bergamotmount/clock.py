"""Time in milliseconds.

All decisions read the time from one :class:`Clock`. Tests substitute a clock
with virtual time, and a program that embeds the package may supply its own::

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
    """Clock of the host that includes time spent suspended.

    Ticket expiry and leases depend on this: a process that was stopped, or
    whose host was suspended, must see on resuming how much time has passed.
    """

    def __init__(self) -> None:
        """Record the offset between wall time and this clock."""
        self._wall_offset_ms = time.time() * MS_PER_SECOND - self.now_ms()

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary start; monotonic."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; monotonic.

        The offset to wall time is read only once. Setting the host's clock
        back therefore can't make an expired ticket valid again.
        """
        return int(self._wall_offset_ms + self.now_ms())

    def loop_time_ms(self) -> float:
        """Return the start time of the current event loop iteration.

        Events handled in one iteration count as simultaneous: the order in
        which they are handled doesn't tell the order in which they occurred.
        """
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the calling task for ``duration_ms``."""
        await asyncio.sleep(max(duration_ms, 0) / MS_PER_SECOND)

    def call_later(
        self,
        delay_ms: float,
        callback: Callable,
        *arguments: object,
    ) -> asyncio.TimerHandle:
        """Schedule a callback; return the handle that can cancel it."""
        loop = asyncio.get_running_loop()
        delay_s = max(delay_ms, 0) / MS_PER_SECOND
        return loop.call_later(delay_s, callback, *arguments)

    def timeout(self, duration_ms: float) -> asyncio.Timeout:
        """Return a context manager that raises ``TimeoutError`` on expiry.

        ::

            async with clock.timeout(250):
                await answer
        """
        return asyncio.timeout(max(duration_ms, 0) / MS_PER_SECOND)


class LoopClock(Clock):
    """Clock that reads the time of the event loop, for virtual time."""

    def now_ms(self) -> float:
        """Return the event loop's time, or 0 outside an event loop."""
        try:
            return asyncio.get_running_loop().time() * MS_PER_SECOND
        except RuntimeError:
            return 0
