"""Tests of the log's output when its reader is slow or stops."""

import asyncio
import json
import os
import time
import unittest

from bergamotmount.clock import LoopClock
from bergamotmount.log import (
    MAX_TRACEBACK_CHARS,
    PendingLines,
    part_logger,
    start_logging,
)
from bergamotmount.supervision import keep_running
from bergamotmount.tests.virtualtime import VirtualTestCase

LINE = 'x' * 99 + '\n'
MAX_BYTES = 10_000


class UnreadOutputTest(unittest.TestCase):
    """A process stopped for good once nobody read its standard output."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.stream = os.fdopen(writer, 'w')
        self.addCleanup(self.stream.close)
        self.addCleanup(os.close, self.reader)
        self.lines = PendingLines(self.stream, MAX_BYTES)

    def read_all(self) -> str:
        """Read what is written now and by flushes, until nothing comes."""
        received = b''
        os.set_blocking(self.reader, False)
        while True:
            self.lines.flush()
            try:
                received += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return received.decode()

    def test_lines_are_written_at_once(self):
        """A reader that keeps up gets each line without a flush."""
        self.lines.append('first\n')
        self.assertEqual(os.read(self.reader, 100), b'first\n')

    def test_writing_never_waits(self):
        """The event loop stood still in a write to the full pipe."""
        started_s = time.monotonic()
        for _ in range(20_000):
            self.lines.append(LINE)
        self.assertLess(time.monotonic() - started_s, 5)
        self.assertGreater(self.lines.left_out, 10_000)

    def test_omitted_lines_are_counted(self):
        """Lines could go missing without a trace."""
        for _ in range(5000):
            self.lines.append(LINE)
        left_out = self.lines.left_out
        text = self.read_all()
        self.assertEqual(text.count(LINE), 5000 - left_out)
        self.assertIn(f'{left_out} lines left out: output not read', text)
        self.lines.append('last\n')
        self.assertEqual(self.read_all(), 'last\n')

    def test_long_line_is_whole(self):
        """A line longer than what a pipe takes at once isn't cut."""
        long_line = 'y' * 9000 + '\n'
        self.lines.append(long_line)
        self.assertEqual(self.read_all(), long_line)


class CauseTest(VirtualTestCase):
    """The line on a failed task named no cause in JSON (issue 40)."""

    def setUp(self):
        self.reader, writer = os.pipe()
        stream = os.fdopen(writer, 'w')
        self.addCleanup(stream.close)
        self.addCleanup(os.close, self.reader)
        handler = start_logging('info', 'json', stream)
        self.addCleanup(handler.pop_application)

    def last_line(self) -> dict[str, str]:
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        return json.loads(lines[-1])

    async def failure_line(self, error: Exception) -> dict[str, str]:
        """Return the line on a task that fails."""

        async def run_badly() -> None:
            raise error

        task = asyncio.create_task(keep_running(LoopClock(), run_badly))
        await asyncio.sleep(0.1)
        task.cancel()
        return self.last_line()

    async def test_failed_task(self):
        """Operators see what failed, and where, in one line."""
        line = await self.failure_line(RecursionError('nested too deeply'))
        self.assertEqual(line['error'], 'RecursionError: nested too deeply')
        self.assertIn('in run_badly', line['traceback'])
        self.assertIn('run_badly failed', line['message'])

    async def test_long_traceback_is_cut(self):
        """One error must not fill the output."""
        line = await self.failure_line(ValueError('x' * MAX_TRACEBACK_CHARS))
        self.assertEqual(len(line['traceback']), MAX_TRACEBACK_CHARS)

    async def test_input_that_cannot_be_decoded(self):
        """The representation of the error shows its input, maybe a key."""
        try:
            b'Token secret\xff'.decode()
        except UnicodeDecodeError as error:
            line = await self.failure_line(error)
        self.assertIn('UnicodeDecodeError: ', line['error'])
        self.assertNotIn('secret', line['error'])

    async def test_line_without_error(self):
        part_logger('test').info('Fine.')
        self.assertNotIn('error', self.last_line())
