"""Logging with a fixed prefix for each component, called its part.

::

    logger = part_logger('policy')
    logger.info('Policy up to offset {} is active.', 17)

prints ``... INFO policy: Policy up to offset 17 is active.`` or, in JSON
format, one object per line with ``time``, ``level``, ``part`` and ``message``.
A line on an unexpected error has its cause in ``error`` and where it was raised
in ``traceback``.
"""

import collections
import json
import os
import select
import sys
from typing import Literal, TextIO

import logbook

#: Maximum size of the lines that wait for a reader of the output.
MAX_PENDING_BYTES = 256 * 1024

#: Maximum length of a cause and of a traceback in a line, in characters. Of a
#: traceback the end is kept.
MAX_ERROR_CHARS = 300
MAX_TRACEBACK_CHARS = 2000

#: Number of bytes that a pipe takes at once if it is ready for any.
_PIPE_BUF = select.PIPE_BUF

_TEXT_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} '
    '{record.channel}: {record.message}'
)


class JsonFormatter:
    """Formats each log record as a JSON object."""

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Return the log line of one record."""
        line = {
            'time': f'{record.time.isoformat()}Z',
            'level': record.level_name.lower(),
            'part': record.channel,
            'message': record.message,
        }
        traceback = record.formatted_exception
        if traceback:
            # Not its representation: some errors show their whole input there,
            # which may hold a key.
            error = record.exc_info[1]
            text = f'{type(error).__name__}: {error}'
            line['error'] = text[:MAX_ERROR_CHARS]
            line['traceback'] = traceback[-MAX_TRACEBACK_CHARS:]
        return json.dumps(line)


class PendingLines:
    """Lines for an output that may not be read, of bounded size.

    Nothing here waits: bytes are written only while the output is ready for
    them, and the rest is kept for the next call. Lines beyond the bound are
    left out and counted; the count is written as soon as lines are read again.
    """

    def __init__(self, stream: TextIO, max_bytes: int) -> None:
        """Write to the file descriptor of ``stream``."""
        self.left_out = 0
        self._descriptor = stream.fileno()
        self._max_bytes = max_bytes
        self._parts: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._unreported = 0

    def append(self, line: str) -> None:
        """Write a line now or later, or leave it out."""
        packed = line.encode(errors='replace')
        if self._pending_bytes + len(packed) > self._max_bytes:
            self.left_out += 1
            self._unreported += 1
        else:
            self._add(packed)
        self.flush()

    def flush(self) -> None:
        """Write what the output takes without waiting."""
        while self._parts and self._is_ready():
            self._write(self._parts.popleft())
        if self._unreported and not self._parts:
            text = f'{self._unreported} lines left out: output not read\n'
            self._unreported = 0
            self._add(text.encode())

    def _add(self, packed: bytes) -> None:
        self._pending_bytes += len(packed)
        for start in range(0, len(packed), _PIPE_BUF):
            self._parts.append(packed[start : start + _PIPE_BUF])

    def _write(self, part: bytes) -> None:
        self._pending_bytes -= len(part)
        try:
            written = os.write(self._descriptor, part)
        except OSError:
            # The reader is gone, and with it the place to report that.
            self.left_out += 1
            return
        if written < len(part):
            self._pending_bytes += len(part) - written
            self._parts.appendleft(part[written:])

    def _is_ready(self) -> bool:
        _, writable, _ = select.select((), (self._descriptor,), (), 0)
        return bool(writable)


class NonBlockingHandler(logbook.StreamHandler):
    """Writes log records without ever waiting for the reader of the output."""

    def __init__(self, stream: TextIO, level: str) -> None:
        """Write to ``stream``, which has a file descriptor."""
        super().__init__(stream, level=level)
        self.lines = PendingLines(stream, MAX_PENDING_BYTES)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record now or later, or leave it out."""
        self.lines.append(f'{self.format(record)}\n')

    def flush(self) -> None:
        """Write what the output takes without waiting."""
        self.lines.flush()

    def close(self) -> None:
        """Write what the output takes; the rest is lost."""
        self.lines.flush()


def part_logger(part: str) -> logbook.Logger:
    """Return the logger that prefixes its lines with ``part``."""
    return logbook.Logger(part)


def start_logging(
    level: str,
    line_format: Literal['text', 'json'],
    stream: TextIO = sys.stderr,
) -> NonBlockingHandler:
    """Write the log of the whole process to a stream, without blocking."""
    handler = NonBlockingHandler(stream, level.upper())
    if line_format == 'json':
        handler.formatter = JsonFormatter()
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
