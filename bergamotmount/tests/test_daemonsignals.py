"""Signals that a node process gets at any time of its life."""

import asyncio
import fcntl
import pathlib
import signal
import sys
import tempfile
import unittest

from bergamotmount.forwarding.http import pack_request
from bergamotmount.platform import names
from bergamotmount.tools.soak.httpcaller import ask
from bergamotmount.tests.test_platform import SETTINGS
from bergamotmount.tools.ports import PortAllocator

#: Library that the process loads in its start.
LOADED_LIBRARY = 'uvloop'

START_TIMEOUT_S = 30

#: Command to set the size of a pipe, and the smallest size.
F_SETPIPE_SZ = 1031
PIPE_BYTES = 4096


class NodeProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """A node process on loopback; there is no store."""

    async def start(self) -> asyncio.subprocess.Process:
        """Start the process."""
        ports = PortAllocator()
        settings = SETTINGS.replace('10.1.0.8:8301', '127.0.0.1:1')
        self.control = f'127.0.0.1:{ports.take()}'
        settings = settings.replace('10.1.0.8:8306', self.control)
        for address in ('8302', '8304'):
            settings = settings.replace(
                f'10.1.0.8:{address}', f'127.0.0.1:{ports.take()}'
            )
        settings = settings.replace('=10.1.0.8', '=127.0.0.1')
        settings = settings.replace(
            '7620,7635', f'{ports.take()},{ports.take()}'
        )
        settings = settings.replace('10.200.1.7:8309', '127.0.0.1:1')
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name) / 'node.conf'
        path.write_text(settings, encoding='utf-8')
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bergamotmount.platform',
            '--config',
            str(path),
            stdout=asyncio.subprocess.PIPE,
        )

    async def stop(self, process: asyncio.subprocess.Process) -> None:
        """End the process if it still runs."""
        if process.returncode is None:
            process.kill()
        await process.communicate()
        self.folder.cleanup()


class ReloadTest(NodeProcessTestCase):
    """SIGHUP asks for new settings and ends no process."""

    async def wait_loading(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the process is in the middle of its start."""
        maps = pathlib.Path(f'/proc/{process.pid}/maps')
        async with asyncio.timeout(START_TIMEOUT_S):
            while LOADED_LIBRARY not in maps.read_text(encoding='utf-8'):
                await asyncio.sleep(0)

    async def test_signal_during_the_start(self):
        """It ended the process until its event loop ran."""
        process = await self.start()
        await self.wait_loading(process)
        process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
        await self.stop(process)
        self.assertIn(b' is up.', line)


class UnreadLogTest(NodeProcessTestCase):
    """A node goes on serving when nobody reads its standard output."""

    async def test_announcements_are_answered(self):
        """The event loop stood still once the pipe was full."""
        process = await self.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await process.stdout.readline()
        pipe = process._transport.get_pipe_transport(1)
        pipe.pause_reading()
        fcntl.fcntl(pipe.get_extra_info('pipe'), F_SETPIPE_SZ, PIPE_BYTES)
        path = f'{names.INSTANCES_PATH}i-1'
        invalid = pack_request('PUT', path, ['Host', 'control'], b'invalid')
        statuses = []
        for _ in range(100):
            answer = await ask(self.control, invalid)
            statuses.append(answer and answer.status)
        pipe.resume_reading()
        await self.stop(process)
        self.assertEqual(set(statuses), {400})
