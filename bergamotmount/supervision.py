"""Long-running tasks that survive an unexpected error.

An error in one message must not end the task that handles all of them. The
task is started again after a pause, and the error is logged with its cause::

    task = asyncio.create_task(keep_running(clock, heartbeats.run))
"""

from collections.abc import Awaitable, Callable

from bergamotmount.clock import Clock
from bergamotmount.log import part_logger

#: Pause before a task that failed is started again.
RESTART_PAUSE_MS = 500

_log = part_logger('supervision')


async def keep_running(
    clock: Clock, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task until cancelled; start it again whenever it ends."""
    while True:
        try:
            await run()
        except Exception:
            _log.exception('Task {} failed, will be restarted.', _name_of(run))
        else:
            _log.error('Task {} ended, will be restarted.', _name_of(run))
        await clock.sleep(RESTART_PAUSE_MS)


def _name_of(run: Callable) -> str:
    return getattr(run, '__qualname__', repr(run))
