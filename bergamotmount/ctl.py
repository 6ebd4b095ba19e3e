"""The command-line tool ``bergamotmountctl`` for operators.

Exit codes: 0 success, 1 the record is not active or not on all nodes, 2 wrong
usage or invalid record, 3 the log or the node can't be reached.
"""

import argparse
import asyncio
import json
import sys

from bergamotmount import __version__, ctlexplain, ctlpublish, ctlviews
from bergamotmount.ctlsources import InputError, NodeError, Report, Sources
from bergamotmount.ports import LogError

#: Exit codes of errors; commands return 1 for a record that isn't active.
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3

_EPILOG = """\
Exit codes: 0 success; 1 the record is not active, or not on all nodes; 2 wrong
usage or invalid record; 3 the log or the node cannot be reached.

Example: bergamotmountctl publish --based-on newest billhouse.json
"""


def main() -> None:
    """Run one command and exit with its code."""
    arguments = _parser().parse_args()
    try:
        report = asyncio.run(_run(arguments))
    except (LogError, NodeError) as error:
        sys.stderr.write(f'bergamotmountctl: {error}\n')
        sys.exit(EXIT_UNREACHABLE)
    except InputError as error:
        sys.stderr.write(f'bergamotmountctl: {error}\n')
        sys.exit(EXIT_INVALID)
    if arguments.json:
        sys.stdout.write(f'{json.dumps(report.document)}\n')
    else:
        sys.stdout.write(''.join(f'{line}\n' for line in report.lines))
    sys.exit(report.exit_code)


async def _run(arguments: argparse.Namespace) -> Report:
    async with Sources(arguments.log, arguments.node) as sources:
        return await arguments.run(sources, arguments)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bergamotmountctl',
        description='Publish policy records and inspect the active policy.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--log',
        default='http://127.0.0.1:7400',
        metavar='URL',
        help='URL of the log service (default: %(default)s)',
    )
    parser.add_argument(
        '--node',
        default='127.0.0.1:7303',
        metavar='IP:PORT',
        help='admin address of any node (default: %(default)s)',
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print one JSON document instead of text',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_record_commands(commands)
    _add_view_commands(commands)
    _add_log_commands(commands)
    return parser


def _add_record_commands(commands) -> None:
    validate = commands.add_parser(
        'validate',
        help='check record files without publishing them',
    )
    validate.add_argument('files', nargs='+', metavar='FILE')
    validate.set_defaults(run=ctlpublish.validate)
    publish = commands.add_parser(
        'publish',
        help='publish a record and wait until it is active on all nodes',
    )
    publish.add_argument('file', metavar='FILE')
    publish.add_argument(
        '--based-on',
        metavar='OFFSET',
        help='offset of the record that this one replaces, "newest" for '
        'the newest accepted record, "none" for a new subject (default: '
        'based_on in the file)',
    )
    publish.add_argument(
        '--wait-s',
        type=float,
        default=ctlpublish.DEFAULT_WAIT_S,
        metavar='SECONDS',
        help='time to wait until all nodes use the record '
        '(default: %(default)s)',
    )
    publish.set_defaults(run=ctlpublish.publish)


def _add_view_commands(commands) -> None:
    show = commands.add_parser('show', help='print the active records')
    show.add_argument('subject', nargs='?', metavar='SUBJECT')
    show.set_defaults(run=ctlviews.show)
    history = commands.add_parser(
        'history', help='list records with their verdicts'
    )
    history.add_argument('subject', nargs='?', metavar='SUBJECT')
    history.set_defaults(run=ctlviews.history)
    diff = commands.add_parser(
        'diff',
        help='compare a record file with the active record',
    )
    diff.add_argument('file', metavar='FILE')
    diff.set_defaults(run=ctlviews.diff)
    status = commands.add_parser(
        'status',
        help='print servers, thresholds and refusals by reason',
    )
    status.set_defaults(run=ctlviews.status)
    conflicts = commands.add_parser(
        'conflicts',
        help='list records that lost a conflict, are invalid or have a '
        'newer schema',
    )
    conflicts.set_defaults(run=ctlviews.conflicts)


def _add_log_commands(commands) -> None:
    explain = commands.add_parser(
        'explain',
        help='print the log lines of a request and the line that ended it',
    )
    explain.add_argument('id', metavar='ID', help='id of the request')
    explain.add_argument(
        'files',
        nargs='*',
        metavar='FILE',
        help='log files of nodes (default: standard input)',
    )
    explain.set_defaults(run=ctlexplain.explain)


if __name__ == '__main__':
    main()
