"""``bergamotmountctl explain``: finds the log lines of one request.

The logs of several nodes may be given in any order, also as one stream. A line
that can't be parsed is counted and skipped. The last word of a prefix before
the JSON object is taken as the name of the node.
"""

import argparse
import dataclasses
import json
import sys
from collections.abc import Iterable, Iterator

from bergamotmount.ctlsources import InputError, Report, Sources

#: Kinds of decisions that end a request.
FINAL_KINDS = ('denied', 'refused', 'unknown')

#: Maximum length of a line that is parsed, in characters.
MAX_LINE_LENGTH = 100_000

EXIT_NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decision; ``node`` is the prefix or the file that it came from."""

    time: str
    node: str
    part: str
    message: str


async def explain(_: Sources, arguments: argparse.Namespace) -> Report:
    """Print the lines of a request by time, and the one that ended it."""
    found, unreadable = _find_lines(read_lines(arguments.files), arguments.id)
    found.sort(key=lambda line: line.time)
    ending = _find_ending(found, arguments.id)
    lines = [_format_line(line) for line in found]
    if ending is not None:
        lines.append(f'ended by: {_format_line(ending)}')
    if not found:
        lines.append(f'no log line found for request {arguments.id}')
    if unreadable:
        lines.append(f'{unreadable} lines could not be read')
    document = {
        'lines': [dataclasses.asdict(line) for line in found],
        'ending': None if ending is None else dataclasses.asdict(ending),
        'unreadable': unreadable,
    }
    return Report(lines, document, 0 if found else EXIT_NOT_FOUND)


def parse_line(text: str, source: str) -> LogLine | None:
    """Return the decision in a line, ``None`` if it can't be parsed."""
    prefix, brace, rest = text.partition('{')
    if not brace or len(text) > MAX_LINE_LENGTH:
        return None
    try:
        fields = json.loads(brace + rest)
        words = prefix.split()
        return LogLine(
            fields['time'],
            words[-1] if words else source,
            fields['part'],
            fields['message'],
        )
    except (ValueError, KeyError, TypeError):
        return None


def read_lines(files: list[str]) -> Iterator[tuple[str, str]]:
    """Yield each line with its file; read standard input without files."""
    if not files:
        yield from (('-', line) for line in sys.stdin)
    for path in files:
        try:
            with open(path, encoding='utf-8', errors='replace') as source:
                yield from ((path, line) for line in source)
        except OSError as error:
            raise InputError(f'{path}: {error}') from error


def _find_lines(
    lines: Iterable[tuple[str, str]],
    request_id: str,
) -> tuple[list[LogLine], int]:
    found = []
    unreadable = 0
    for source, text in lines:
        line = parse_line(text.rstrip('\n'), source)
        if line is None:
            unreadable += bool(text.strip())
        elif request_id in line.message:
            found.append(line)
    return found, unreadable


def _find_ending(found: list[LogLine], request_id: str) -> LogLine | None:
    request_field = f'request={request_id} '
    for line in reversed(found):
        is_final = line.message.startswith(FINAL_KINDS)
        if line.part == 'entry' and is_final and request_field in line.message:
            return line
    return None


def _format_line(line: LogLine) -> str:
    return f'{line.time} {line.node} {line.part}: {line.message}'
