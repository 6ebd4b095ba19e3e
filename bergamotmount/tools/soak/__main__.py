"""Soak a small fleet under faults drawn from seeds."""

import argparse
import asyncio
import collections
import configparser
import dataclasses
import logging
import pathlib
import random
import sys
import time

from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.soak.checks import RECOVERED_SHARE, broken_promises
from bergamotmount.tools.soak.faults import FAULTS, FaultSeries
from bergamotmount.tools.soak.fleet import SoakFleet
from bergamotmount.tools.soak.truth import Truth, now_s

#: Time until the first fault, and longest time to recover after the last.
SETTLE_S = 4
RECOVER_S = 20

#: Span that recovery is judged by, in seconds.
JUDGED_S = 2

#: Seeds that once broke a promise.
REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.ini'

_SUCCESS = 200
_SEED_BITS = 31


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One seed, and how long and at what size it is played."""

    seed: int
    seconds: float
    hosts: int
    per_s: float
    cause: str = ''


async def soak(
    case: Case,
    only: tuple[str, ...] = (),
    logs: pathlib.Path | None = None,
) -> list[str]:
    """Run one seed and return a line for each broken promise.

    With ``only`` just these faults are drawn; ``logs`` is where the logs of
    all nodes are kept.
    """
    rng = random.Random(case.seed)
    fleet = SoakFleet(case.hosts, rng)
    try:
        return await _soak(fleet, rng, case, only)
    finally:
        if logs is not None:
            fleet.keep_logs(logs / f'seed-{case.seed}')
        fleet.close()


async def _soak(
    fleet: SoakFleet,
    rng: random.Random,
    case: Case,
    only: tuple[str, ...],
) -> list[str]:
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    asking = asyncio.create_task(fleet.callers.run(fleet.hosts, case.per_s))
    faults = FaultSeries(fleet, random.Random(rng.random()), only)
    await faults.run(case.seconds)
    await _wait_recovered(fleet.truth)
    asking.cancel()
    await fleet.callers.finish()
    await fleet.stop()
    sys.stdout.write(f'{_summary(fleet.truth)}\n')
    return broken_promises(fleet.truth)


def _summary(truth: Truth) -> str:
    statuses = collections.Counter(
        sent.status for sent in truth.sent_by_id.values() if not sent.is_call
    )
    told = ', '.join(
        f'{count} x {status or "no answer"}'
        for status, count in statuses.most_common()
    )
    return f'{len(truth.disturbances)} faults; answers: {told}'


async def _wait_recovered(truth: Truth) -> None:
    """Wait until enough is served, at most the time there is to recover."""
    end_s = now_s() + RECOVER_S
    while now_s() < end_s and truth.recovered_share < RECOVERED_SHARE:
        await asyncio.sleep(JUDGED_S)
        truth.recovered_share = _served_share(truth)


def _served_share(truth: Truth) -> float:
    end_s = now_s() - JUDGED_S / 2
    judged = [
        sent
        for sent in truth.sent_by_id.values()
        if end_s - JUDGED_S < sent.sent_s <= end_s and sent.left_s is None
    ]
    served = sum(sent.status == _SUCCESS for sent in judged)
    return served / max(len(judged), 1)


def regressions() -> list[Case]:
    """Return the seeds that once broke a promise."""
    parser = configparser.ConfigParser()
    parser.read_string(REGRESSIONS.read_text(encoding='utf-8'))
    return [
        Case(
            int(seed),
            parser.getfloat(seed, 'seconds'),
            parser.getint(seed, 'hosts'),
            parser.getfloat(seed, 'rate'),
            parser.get(seed, 'cause'),
        )
        for seed in parser.sections()
    ]


async def _run_cases(cases: list[Case], arguments: argparse.Namespace) -> int:
    broken_seeds = []
    for case in cases:
        started_s = time.monotonic()
        broken = await soak(case, tuple(arguments.only), arguments.logs)
        elapsed_s = time.monotonic() - started_s
        sys.stdout.write(
            f'seed {case.seed}: {len(broken)} promises broken, '
            f'{elapsed_s:.0f} s {case.cause}\n',
        )
        for line in broken[: arguments.lines]:
            sys.stdout.write(f'  {line}\n')
        sys.stdout.flush()
        if broken:
            broken_seeds.append(case.seed)
    sys.stdout.write(
        f'{len(cases)} seeds, {len(broken_seeds)} with a promise broken: '
        f'{broken_seeds}\n',
    )
    return 1 if broken_seeds else 0


def main() -> None:
    """Run the seeds that the command line asks for."""
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.soak',
        description=__doc__,
    )
    fresh = random.SystemRandom().getrandbits(_SEED_BITS)
    parser.add_argument('--seed', type=int, default=fresh, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=20, help='of faults')
    parser.add_argument('--hosts', type=int, default=8)
    parser.add_argument('--rate', type=float, default=80, help='requests/s')
    parser.add_argument('--lines', type=int, default=8, help='shown a seed')
    parser.add_argument(
        '--only',
        action='append',
        default=[],
        choices=FAULTS,
        help='only this fault; may be repeated',
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='play the seeds that once broke a promise',
    )
    parser.add_argument('--logs', type=pathlib.Path, help='keep logs here')
    arguments = parser.parse_args()
    # Connections that faults cut are no news.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    cases = [
        Case(
            arguments.seed + number,
            arguments.seconds,
            arguments.hosts,
            arguments.rate,
        )
        for number in range(arguments.seeds)
    ]
    if arguments.regressions:
        cases = regressions()
    sys.exit(asyncio.run(run_interruptibly(_run_cases(cases, arguments))))


if __name__ == '__main__':
    main()
