"""Command line of the soak; exits with 1 if a promise was broken."""

import argparse
import asyncio
import json
import pathlib
import shutil
import sys

from bergamotmount.tools.soak.callers import THINK_S
from bergamotmount.tools.soak.fleet import SoakOptions
from bergamotmount.tools.soak.soakrun import SoakOutcome, SoakRun

HERE = pathlib.Path(__file__).resolve().parents[3]


def main() -> None:
    """Play one run for each seed and print a line of JSON about each."""
    arguments = _parser().parse_args()
    is_broken = False
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        options = SoakOptions(
            seed,
            arguments.seconds,
            arguments.nodes,
            tuple(arguments.release or (HERE,)),
            not arguments.planned_only,
            arguments.fixed,
            not arguments.direct,
            arguments.think,
            tuple(arguments.fault or ()),
        )
        outcome = asyncio.run(SoakRun(options).play())
        is_broken = is_broken or bool(outcome.breaches)
        report(seed, outcome, arguments.keep)
    sys.exit(int(is_broken))


def report(seed: int, outcome: SoakOutcome, keeps_logs: bool) -> None:
    """Print the outcome of a run; the logs of a clean one are removed."""
    line: dict[str, object] = {'seed': seed, **outcome.summary}
    if outcome.breaches or keeps_logs:
        line['logs'] = str(outcome.folder)
        line['broken'] = [
            f'{breach.promise}: {breach.subject} ({breach.detail})'
            for breach in outcome.breaches
        ]
    else:
        shutil.rmtree(outcome.folder)
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.soak', description=__doc__
    )
    add = parser.add_argument
    add('--seed', type=int, default=1, help='seed of the first run')
    add('--runs', type=int, default=1, help='runs, each with the next seed')
    add('--seconds', type=float, default=30, help='time with faults')
    add('--nodes', type=int, default=6, help='number of nodes')
    add(
        '--release',
        type=pathlib.Path,
        action='append',
        metavar='DIR',
        help='checkout that nodes run, several for a mix; default: this one',
    )
    add('--planned-only', action='store_true', help='no kills and pauses')
    add('--fixed', action='store_true', help='each node keeps its release')
    add('--direct', action='store_true', help='no proxies between nodes')
    add(
        '--think',
        type=float,
        default=THINK_S,
        metavar='SECONDS',
        help='pause of callers after each answer, longer for many nodes',
    )
    add(
        '--fault',
        action='append',
        metavar='NAME',
        help='inject only this fault, such as silence-store; several add up',
    )
    add('--keep', action='store_true', help='keep the logs of clean runs too')
    return parser


if __name__ == '__main__':
    main()
