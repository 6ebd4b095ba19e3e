"""Compare variants with the product, over seeds and deployments.

Each variant plays the same deployments, scenarios and seeds as the product.
The table shows the mean difference of worth, in thousandths, with its 95 %
interval (bootstrap over the pairs). Below 0 means that the variant is worse,
so that the mechanism it switches off is worth something::

    python -m bergamotmount.tools.experiment --variant no_threshold \\
        --play fleet:storm --play drawn --seeds 4 --results run.jsonl

Results are kept as plays end. A run that is stopped, or ends by its
``--budget`` of seconds, goes on where it was with the same file.
"""

import argparse
import collections
import dataclasses
import itertools
import math
import multiprocessing
import pathlib
import statistics
import sys
import time
from collections.abc import Iterator

import numpy as np
from scipy import stats

from bergamotmount.settingserror import SettingsError
from bergamotmount.tools.emulation.__main__ import run_scenario
from bergamotmount.tools.emulation.model import (
    DEPLOYMENTS_DIR,
    Deployment,
    Scenario,
    read_deployment,
)
from bergamotmount.tools.experiment.drawn import draw
from bergamotmount.tools.experiment.resultfile import Job, ResultFile
from bergamotmount.tools.experiment.variants import (
    BASE,
    VARIANT_BY_NAME,
    apply_variant,
)
from bergamotmount.tools.virtualloop import run_virtual

EXIT_BAD_INPUT = 2

#: Name of the plays whose seed draws the deployment too.
DRAWN = 'drawn'

_PERMILLE = 1000

#: Longest wait for one play.
MAX_WAIT_S = 1e6


def run_job(job: Job) -> tuple[Job, float]:
    """Play a variant; return the share of the worth that was earned."""
    apply_variant(job.variant)
    deployment, scenario = _load(job.play, job.seed)
    simulation = run_virtual(run_scenario(deployment, scenario, job.seed))
    return job, simulation.results.earned_share()


def main() -> None:
    """Run the plays that the command line names, and print the table."""
    arguments = _parser().parse_args()
    try:
        for play in arguments.play:
            _load(play, 1)
    except (SettingsError, KeyError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_INPUT)
    variants = [BASE, *(arguments.variant or VARIANT_BY_NAME)]
    seeds = range(1, arguments.seeds + 1)
    results = ResultFile(arguments.results)
    jobs = [
        Job(*fields)
        for fields in itertools.product(variants, arguments.play, seeds)
    ]
    waiting = [job for job in jobs if job not in results.worth_by_job]
    # All variants of a play and seed follow each other: pairs come early.
    waiting.sort(key=lambda job: (job.seed, job.play))
    _play(waiting, results, arguments.processes, arguments.budget)
    played = {
        job: worth
        for job, worth in results.worth_by_job.items()
        if job in set(jobs)
    }
    sys.stdout.writelines(f'{row}\n' for row in _rows(played))


def _play(
    jobs: list[Job], results: ResultFile, processes: int, budget_s: float
) -> None:
    """Play jobs until the budget is used up; keep each result."""
    ends_s = time.monotonic() + budget_s
    with multiprocessing.Pool(processes, maxtasksperchild=1) as pool:
        outcomes = pool.imap_unordered(run_job, jobs, chunksize=1)
        for number in range(1, len(jobs) + 1):
            try:
                job, worth = outcomes.next(
                    min(max(ends_s - time.monotonic(), 0), MAX_WAIT_S)
                )
            except multiprocessing.TimeoutError:
                sys.stderr.write(f'budget used up, {number - 1} plays\n')
                return
            results.add(job, worth)
            sys.stderr.write(f'{number} of {len(jobs)}: {job} {worth:.3f}\n')


def _rows(worth_by_job: dict[Job, float]) -> Iterator[str]:
    """Yield the product's mean worth in each play, then the differences."""
    worths_by_pair = collections.defaultdict(list)
    diffs_by_pair = collections.defaultdict(list)
    for job, worth in worth_by_job.items():
        base = worth_by_job.get(dataclasses.replace(job, variant=BASE))
        if base is None:
            continue
        pair = job.variant, job.play
        worths_by_pair[pair].append(worth)
        diffs_by_pair[pair].append((worth - base) * _PERMILLE)
    for (variant, play), diffs in sorted(diffs_by_pair.items()):
        if variant == BASE:
            mean = statistics.fmean(worths_by_pair[variant, play])
            yield f'{variant:34}{play:18}worth {mean:.3f}'
        else:
            mean = statistics.fmean(diffs)
            yield f'{variant:34}{play:18}{mean:+8.1f}{_interval(diffs)}'


def _interval(diffs: list[float]) -> str:
    if len(set(diffs)) < 2:
        return ''
    bootstrap = stats.bootstrap((diffs,), np.mean, rng=1)
    low, high = bootstrap.confidence_interval
    return f'  {low:+.1f} to {high:+.1f}'


def _load(play: str, seed: int) -> tuple[Deployment, Scenario]:
    if play == DRAWN:
        return draw(seed)
    name, _, scenario = play.partition(':')
    deployment, scenario_by_name = read_deployment(
        DEPLOYMENTS_DIR / f'{name}.ini'
    )
    return deployment, scenario_by_name[scenario]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.experiment', description=__doc__
    )
    parser.add_argument(
        '--variant',
        action='append',
        choices=tuple(VARIANT_BY_NAME),
        help='variant to play beside the product; default: all',
    )
    parser.add_argument(
        '--play',
        action='append',
        required=True,
        metavar='DEPLOYMENT:SCENARIO',
        help='bundled deployment and scenario, or "drawn"',
    )
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument(
        '--results',
        type=pathlib.Path,
        metavar='FILE',
        help='JSON lines to add results to, and to go on from',
    )
    parser.add_argument(
        '--budget',
        type=float,
        default=math.inf,
        metavar='SECONDS',
        help='time after which no further result is awaited',
    )
    return parser


if __name__ == '__main__':
    main()
