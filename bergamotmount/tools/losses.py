"""Shows where the worth of requests was lost, from the logs of the nodes.

It adds up the totals that each node's entry writes once a second, over all
nodes: by route and outcome, by reason, and by second. Answers in time earn
their full worth, late ones a part, and all others nothing, so that the parts
sum to the whole loss::

    python -m bergamotmount.tools.losses --from 13:00 --to 13:05 \\
        --worth buy=3,0.6 --worth list=1,0.3 node-*.log

Calls that servers make are shown apart. A lost call isn't a loss of its own:
the request above it fails.
"""

import argparse
import collections
import dataclasses
import sys
from collections.abc import Callable, Iterable

from bergamotmount.ctlexplain import parse_line, read_lines
from bergamotmount.ctlsources import InputError

EXIT_BAD_INPUT = 2

#: Length of a time of day with seconds.
_SECOND_LENGTH = len('hh:mm:ss')


@dataclasses.dataclass(frozen=True, slots=True)
class Total:
    """Requests of a route that ended the same way in one second.

    ``second`` is the time of day. ``cause`` is the outcome, with its reason.
    """

    second: str
    route: str
    is_call: bool
    cause: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """Worth of an answer in time and of a late one."""

    in_time: float = 1
    late: float = 0

    def lost(self, total: Total) -> float:
        """Return the worth that the requests of a total didn't earn."""
        match total.cause:
            case 'answered':
                earned = self.in_time
            case 'late':
                earned = self.late
            case _:
                earned = 0
        return total.count * (self.in_time - earned)


def parse_totals(lines: Iterable[tuple[str, str]]) -> list[Total]:
    """Return the totals in log lines; lines of other kinds are skipped."""
    totals = []
    for source, text in lines:
        line = parse_line(text, source)
        if line is None or not line.message.startswith('totals '):
            continue
        fields = dict(
            word.split('=', 1) for word in line.message.split() if '=' in word
        )
        reason = fields['reason'].strip('-')
        totals.append(
            Total(
                _time_of_day(line.time),
                fields['route'],
                fields['call'] == 'True',
                ' '.join(filter(None, (fields['outcome'], reason))),
                int(fields['count']),
            )
        )
    return totals


def format_losses(
    totals: list[Total], worth_by_route: dict[str, Worth]
) -> list[str]:
    """Return the tables of the losses of callers' requests, and of calls."""
    roots = [total for total in totals if not total.is_call]
    calls = [total for total in totals if total.is_call]
    return [
        *_table('route and outcome', roots, worth_by_route, _route_and_cause),
        *_table('outcome', roots, worth_by_route, _cause),
        *_table('second', roots, worth_by_route, _second),
        *_table('calls of servers', calls, worth_by_route, _route_and_cause),
    ]


def main() -> None:
    """Print the tables for the logs named on the command line."""
    arguments = _parser().parse_args()
    try:
        worth_by_route = dict(map(_parse_worth, arguments.worth))
        totals = parse_totals(read_lines(arguments.files))
    except (InputError, ValueError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_INPUT)
    selected = [
        total
        for total in totals
        if arguments.start <= total.second < arguments.end
    ]
    lines = format_losses(selected, worth_by_route)
    sys.stdout.writelines(f'{text}\n' for text in lines)


def _table(
    title: str,
    totals: list[Total],
    worth_by_route: dict[str, Worth],
    key_of: Callable[[Total], str],
) -> list[str]:
    asked: collections.Counter[str] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()
    for total in totals:
        key = key_of(total)
        asked[key] += total.count
        lost[key] += worth_by_route.get(total.route, Worth()).lost(total)
    rows = [_row(key, asked[key], lost[key]) for key in sorted(asked)]
    header = f'{title:48}{"requests":>9}{"lost":>10}'
    return [header, *rows, _row('sum', asked.total(), lost.total()), '']


def _row(title: str, asked: int, lost: float) -> str:
    return f'{title:48}{asked:9}{lost:10.1f}'


def _route_and_cause(total: Total) -> str:
    return f'{total.route} {total.cause}'


def _cause(total: Total) -> str:
    return total.cause


def _second(total: Total) -> str:
    return total.second


def _time_of_day(time: str) -> str:
    return time.partition('T')[2][:_SECOND_LENGTH]


def _parse_worth(text: str) -> tuple[str, Worth]:
    route, _, worth = text.partition('=')
    in_time, _, late = worth.partition(',')
    return route, Worth(float(in_time), float(late or 0))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.losses', description=__doc__
    )
    parser.add_argument('files', nargs='*', help='logs; default: stdin')
    parser.add_argument('--from', dest='start', default='', metavar='TIME')
    parser.add_argument('--to', dest='end', default='~', metavar='TIME')
    parser.add_argument(
        '--worth',
        action='append',
        default=[],
        metavar='ROUTE=WORTH[,LATE]',
        help='worth of an answer in time and of a late one; default: 1,0',
    )
    return parser


if __name__ == '__main__':
    main()
