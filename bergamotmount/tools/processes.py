"""Processes that a tool starts, signals and ends, each by its id."""

import asyncio
import signal
import sys
from collections.abc import Iterable

#: How long a process may take to end before it is killed.
STOP_TIMEOUT_S = 20


class Processes:
    """Python modules run as processes, by a name.

    ::

        processes = Processes()
        await processes.start('node-1', 'bergamotmount', '--config', path)
        processes.signal('node-1', signal.SIGHUP)
        await processes.stop_all()
    """

    def __init__(self) -> None:
        """Run nothing yet."""
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}

    @property
    def names(self) -> set[str]:
        """Names of the processes that were started and not ended here."""
        return set(self._process_by_name)

    async def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        stdout: int | None = None,
    ) -> None:
        """Start a module under a name."""
        self._process_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            start_new_session=True,
            stdout=stdout,
        )

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._process_by_name[name].pid

    def exit_code(self, name: str) -> int | None:
        """Return the exit code of a process, ``None`` while it runs."""
        return self._process_by_name[name].returncode

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        process = self._process_by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.signal(name, signal.SIGKILL)
        await self._process_by_name.pop(name).wait()

    async def stop(self, name: str) -> int:
        """Ask a process to end and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await self._process_by_name.pop(name).wait()

    async def stop_all(self, names: Iterable[str] | None = None) -> None:
        """End processes, all by default; kill what takes too long."""
        chosen = list(self.names if names is None else names)
        for name in chosen:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        await asyncio.gather(*map(self._wait_or_kill, chosen))

    async def _wait_or_kill(self, name: str) -> None:
        process = self._process_by_name.pop(name)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
