"""Logging with a fixed prefix for each component, called its part.

::

    logger = part_logger('policy')
    logger.info('Policy up to offset {} is active.', 17)

prints ``... INFO policy: Policy up to offset 17 is active.`` or, in JSON
format, one object per line with ``time``, ``level``, ``part`` and ``message``.
"""

import json
import sys
from typing import Literal, TextIO

import logbook

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
        return json.dumps(
            {
                'time': f'{record.time.isoformat()}Z',
                'level': record.level_name.lower(),
                'part': record.channel,
                'message': record.message,
            }
        )


def part_logger(part: str) -> logbook.Logger:
    """Return the logger that prefixes its lines with ``part``."""
    return logbook.Logger(part)


def start_logging(
    level: str,
    line_format: Literal['text', 'json'],
    stream: TextIO = sys.stderr,
) -> logbook.Handler:
    """Write the log of the whole process to a stream."""
    handler = logbook.StreamHandler(stream, level=level.upper())
    if line_format == 'json':
        handler.formatter = JsonFormatter()
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
