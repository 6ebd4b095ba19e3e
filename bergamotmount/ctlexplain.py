"""``bergamotmountctl explain``: what the logs say of one request.

The logs of many nodes may be given in any order, also as one stream. A line
that can't be read is counted and passed over; a node's prefix before the JSON
object is ignored.
"""

import argparse
import dataclasses
import json
import sys
from collections.abc import Iterable, Iterator

from bergamotmount.ctlsources import InputError, Report, Sources

#: Kinds of lines that end a request.
ENDINGS = ('refused', 'unknown')

#: Longest line that is read, in characters.
MAX_LINE = 100_000

EXIT_NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decision: ``node`` is the prefix or file it came from."""

    time: str
    node: str
    part: str
    message: str


async def explain(_: Sources, arguments: argparse.Namespace) -> Report:
    """Print the lines of a request in order, and the one that ended it."""
    found, unreadable = _search(_all_lines(arguments.files), arguments.id)
    found.sort(key=lambda line: line.time)
    ending = _ending_of(found, arguments.id)
    lines = [_shown(line) for line in found]
    if ending is not None:
        lines.append(f'ended by: {_shown(ending)}')
    if not found:
        lines.append(f'no line of {arguments.id}')
    if unreadable:
        lines.append(f'{unreadable} lines could not be read')
    document = {
        'lines': [dataclasses.asdict(line) for line in found],
        'ending': None if ending is None else dataclasses.asdict(ending),
        'unreadable': unreadable,
    }
    return Report(lines, document, 0 if found else EXIT_NOT_FOUND)


def read_line(text: str, source: str) -> LogLine | None:
    """Return the decision in a line, ``None`` when there is none."""
    prefix, brace, rest = text.partition('{')
    if not brace or len(text) > MAX_LINE:
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


def _all_lines(files: list[str]) -> Iterator[tuple[str, str]]:
    if not files:
        yield from (('-', line) for line in sys.stdin)
    for path in files:
        try:
            with open(path, encoding='utf-8', errors='replace') as source:
                yield from ((path, line) for line in source)
        except OSError as error:
            raise InputError(f'{path}: {error}') from error


def _search(
    lines: Iterable[tuple[str, str]],
    request_id: str,
) -> tuple[list[LogLine], int]:
    found = []
    unreadable = 0
    for source, text in lines:
        line = read_line(text.rstrip('\n'), source)
        if line is None:
            unreadable += bool(text.strip())
        elif request_id in line.message:
            found.append(line)
    return found, unreadable


def _ending_of(found: list[LogLine], request_id: str) -> LogLine | None:
    own = f'request={request_id} '
    for line in reversed(found):
        is_ending = line.message.startswith(ENDINGS)
        if line.part == 'entry' and is_ending and own in line.message:
            return line
    return None


def _shown(line: LogLine) -> str:
    return f'{line.time} {line.node} {line.part}: {line.message}'
