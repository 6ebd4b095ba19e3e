"""Rate-limited log of decisions on requests.

Each line names its part, the request, the inputs of the decision, their age,
and the outcome. The number of lines of each kind per second is limited to
bound the log under load. Omitted lines are counted, and the count is written
with the first decision after that second::

    decisions = DecisionLog(clock, 'entry')
    decisions.write('refused', request='7f3a', reason='over_threshold')
"""

import collections

import logbook

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.log import part_logger

#: Maximum number of lines of one kind in a second.
MAX_LINES_PER_SECOND = 10


class DecisionLog:
    """Writes the decisions of one part of a node."""

    def __init__(self, clock: Clock, part: str) -> None:
        """Prefix all lines with ``part``."""
        self._clock = clock
        self._logger: logbook.Logger = part_logger(part)
        self._second = 0
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def write(self, kind: str, **inputs: object) -> None:
        """Write a decision, or count it as omitted if above the limit."""
        self.flush()
        self._count_by_kind[kind] += 1
        if self._count_by_kind[kind] <= MAX_LINES_PER_SECOND:
            self._logger.info(format_line(kind, inputs))

    def flush(self) -> None:
        """Report the lines omitted in earlier seconds; call regularly."""
        second = int(self._clock.now_ms()) // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._write_omitted()

    def _write_omitted(self) -> None:
        for kind, count in self._count_by_kind.items():
            if count > MAX_LINES_PER_SECOND:
                inputs = {'of': kind, 'lines': count - MAX_LINES_PER_SECOND}
                self._logger.info(format_line('left_out', inputs))
        self._count_by_kind.clear()


def format_line(kind: str, inputs: dict[str, object]) -> str:
    """Format a decision as its kind and ``name=value`` fields."""
    words = [kind]
    for name, field in inputs.items():
        words.append(f'{name}={format_field(field)}')
    return ' '.join(words)


def format_field(field: object) -> str:
    """Format a field: two decimals for floats, no spaces in text."""
    match field:
        case float():
            return f'{field:.2f}'
        case str():
            return field.replace(' ', '_') or '-'
        case _:
            return str(field)
