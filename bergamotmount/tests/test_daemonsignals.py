"""Signals that a node process gets at any time of its life."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import unittest

from bergamotmount.tests.test_platform import SETTINGS
from bergamotmount.tools.ports import PortAllocator

#: Library that the process loads in its start.
LOADED_LIBRARY = 'uvloop'

START_TIMEOUT_S = 30


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """SIGHUP asks for new settings and ends no process."""

    async def start(self) -> asyncio.subprocess.Process:
        """Start a node on loopback; there is no store."""
        ports = PortAllocator()
        settings = SETTINGS.replace('10.1.0.8:8301', '127.0.0.1:1')
        for address in ('8302', '8304', '8306'):
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
        process.kill()
        await process.communicate()
        self.folder.cleanup()
        self.assertIn(b' is up.', line)
