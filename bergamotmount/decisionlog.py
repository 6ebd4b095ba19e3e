"""Log lines of decisions that touch a request, bounded under load.

Each line names its part, the request, the inputs that decided, their age, and
the outcome. Of each kind a number of lines a second is written; what is left
out is counted, and the count is written once the second is over::

    decisions = DecisionLog(clock, 'entry')
    decisions.write('refused', request='7f3a', reason='over_threshold')
"""

import collections

import logbook

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.log import part_logger

#: Lines of one kind that are written in a second.
LINES_PER_KIND = 10


class DecisionLog:
    """Writes the decisions of one part."""

    def __init__(self, clock: Clock, part: str) -> None:
        """Prefix all lines with ``part``."""
        self._clock = clock
        self._logger: logbook.Logger = part_logger(part)
        self._second = 0
        self._count_by_kind: collections.Counter[str] = collections.Counter()

    def write(self, kind: str, **inputs: object) -> None:
        """Write a decision, or count it as left out."""
        second = int(self._clock.now_ms()) // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._write_left_out()
        self._count_by_kind[kind] += 1
        if self._count_by_kind[kind] <= LINES_PER_KIND:
            self._logger.info(_line(kind, inputs))

    def _write_left_out(self) -> None:
        for kind, count in self._count_by_kind.items():
            if count > LINES_PER_KIND:
                inputs = {'of': kind, 'lines': count - LINES_PER_KIND}
                self._logger.info(_line('left_out', inputs))
        self._count_by_kind.clear()


def _line(kind: str, inputs: dict[str, object]) -> str:
    words = [kind]
    for name, field in inputs.items():
        words.append(f'{name}={shown(field)}')
    return ' '.join(words)


def shown(field: object) -> str:
    """Return how a field is written: numbers short, text without blanks."""
    match field:
        case float():
            return f'{field:.2f}'
        case str():
            return field.replace(' ', '_') or '-'
        case _:
            return str(field)
