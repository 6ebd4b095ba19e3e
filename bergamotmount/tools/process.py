"""Process utilities of the companion programs."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import TypeVar

import uvloop
from aiohttp import web

_Result = TypeVar('_Result')

#: Closes a resource that a program opened.
Closer = Callable[[], Awaitable[None]]


def run_until_signal(start: Callable[[], Awaitable[list[Closer]]]) -> None:
    """Run ``start``, wait for SIGTERM or SIGINT, then run its closers."""

    async def run() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stopping.set)
        closers = await start()
        await stopping.wait()
        for close in closers:
            await close()

    uvloop.run(run())


async def run_interruptibly(
    coroutine: Coroutine[None, None, _Result],
) -> _Result | None:
    """Run a coroutine; return ``None`` if SIGINT or SIGTERM cancels it."""
    task = asyncio.create_task(coroutine)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        return await task
    return None


async def start_site(runner: web.BaseRunner, address: str) -> Closer:
    """Serve HTTP on ``ip:port`` and return the closer of the site."""
    host, _, port = address.rpartition(':')
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner.cleanup
