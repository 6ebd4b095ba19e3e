"""Logs: short sentences, with a fixed prefix for each part.

::

    logger = part_logger('policy')
    logger.info('Offset {} is in force.', 17)

prints ``... INFO policy: Offset 17 is in force.`` or, in the JSON form, one
object a line with ``time``, ``level``, ``part`` and ``message``.
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
    """Formats each record as a JSON object."""

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Return the line of one record."""
        return json.dumps(
            {
                'time': f'{record.time.isoformat()}Z',
                'level': record.level_name.lower(),
                'part': record.channel,
                'message': record.message,
            }
        )


def part_logger(part: str) -> logbook.Logger:
    """Return the logger of a part, which prefixes its lines."""
    return logbook.Logger(part)


def start_logging(
    level: str,
    line_format: Literal['text', 'json'],
    stream: TextIO = sys.stderr,
) -> logbook.Handler:
    """Send the log of the whole process to a stream."""
    handler = logbook.StreamHandler(stream, level=level.upper())
    if line_format == 'json':
        handler.formatter = JsonFormatter()
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
