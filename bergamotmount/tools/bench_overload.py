"""Overload benchmark: nodes against no control and against a fixed limit.

The deployment is a scaled-down one: four services in a chain with two servers
each, and at most a quarter of the slots that the requirements name. For ten
seconds the deepest service is four times slower while demand doubles and
clients retry every failure immediately, up to five times. After that, service
times and demand return to normal.
"""

import argparse
import asyncio
import dataclasses
import signal
import sys
import time
from collections import Counter

import uvloop

from bergamotmount.tools.deployments import (
    DemoOperation,
    Deployment,
    ServiceSize,
)
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.load import LoadGenerator, LoadPlan, Sample
from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.publish import publish_deployment
from bergamotmount.tools.summary import summarize

#: Root requests a second before and after the trigger, and the durations.
REQUESTS_PER_S = 40
WARM_UP_S = 3
TRIGGER_S = 10
AFTER_TRIGGER_S = 6

#: The trigger: a slower deepest service, more demand, immediate retries.
SLOW_FACTOR = 4
DEMAND_FACTOR = 2
CLIENT_RETRIES = 5
DEADLINE_S = 2

#: Share of requests completed in time from which goodput has recovered.
RECOVERED_SHARE = 0.95

#: Share of the deepest service's capacity that remains while a failure domain
#: is partitioned.
PARTITION_CAPACITY_SHARE = 0.5

_DEEPEST_SERVICE = 'fieldbench'
_DEEPEST_SERVICE_MS = 60
_DEEPEST_SLOTS = 2
_SERVERS = 2
_CHAIN_LENGTH = 4
_MAX_LEVEL = 3
_MS_PER_S = 1000


def _make_chain(prefix: str, level: int, idempotent: bool) -> dict:
    deepest = DemoOperation(level, idempotent, _DEEPEST_SERVICE_MS)
    chain = {f'{_DEEPEST_SERVICE}/{prefix}4': deepest}
    callee = f'{_DEEPEST_SERVICE}/{prefix}4'
    for number, service in (
        (3, 'billhouse'),
        (2, 'supplyline'),
        (1, 'meterdesk'),
    ):
        name = f'{service}/{prefix}{number}'
        chain[name] = DemoOperation(level, idempotent, 10, (callee,))
        callee = name
    return chain


OVERLOAD = Deployment(
    name='overload',
    region='bench',
    service_by_name={
        'meterdesk': ServiceSize(_SERVERS, 14, 110),
        'supplyline': ServiceSize(_SERVERS, 14, 110),
        'billhouse': ServiceSize(_SERVERS, 14, 110),
        _DEEPEST_SERVICE: ServiceSize(_SERVERS, _DEEPEST_SLOTS, 45),
    },
    operation_by_name={
        **_make_chain('order', 0, idempotent=False),
        **_make_chain('read', 2, idempotent=True),
    },
    mix={'meterdesk/order1': 10, 'meterdesk/read1': 90},
)

#: Behaviour of the baselines: retries at each hop, and queue places per slot.
BASELINES = {
    'none': {'hop_retries': 3, 'shed_per_slot': 1_000_000},
    'fixed': {'hop_retries': 3, 'shed_per_slot': 2},
}


@dataclasses.dataclass(slots=True)
class BenchResult:
    """Samples and execution counts of one mode of overload control."""

    mode: str
    samples: list[Sample]
    counts_by_service: dict[str, dict]
    trigger_s: float
    end_s: float
    capacity_share: float = 1

    def lines(self) -> list[str]:
        """Return the lines to print."""
        figures = {
            'goodput': self._goodput(),
            'important_goodput': self._important_goodput(),
            'recovery_s': self._recovery_s(),
            'wasted': self._wasted(),
            'retries_max': self._retries_max(),
            'doubled': self._doubled(),
        }
        return [
            f'{name}_{self.mode} {figure:.3f}'
            for name, figure in figures.items()
        ]

    def _goodput(self) -> float:
        """Return completions during the trigger, as a share of the capacity."""
        samples = self._trigger_samples(_MAX_LEVEL)
        completed = sum(
            sample.in_time and sample.ended_s <= self.end_s
            for sample in samples
        )
        slots = _SERVERS * _DEEPEST_SLOTS * self.capacity_share
        capacity = (
            slots * _MS_PER_S / (_DEEPEST_SERVICE_MS * SLOW_FACTOR) * TRIGGER_S
        )
        return completed / min(capacity, len(samples))

    def _important_goodput(self) -> float:
        """Return the share of important requests completed in time.

        All of them can complete: they need less than the capacity of the
        slowed service. A request that starts late in the trigger may complete
        in time after its end.
        """
        important = self._trigger_samples(0)
        return sum(sample.in_time for sample in important) / len(important)

    def _trigger_samples(self, max_level: int) -> list[Sample]:
        return [
            sample
            for sample in self.samples
            if self.trigger_s <= sample.started_s < self.end_s
            and sample.level <= max_level
        ]

    def _recovery_s(self) -> float:
        """Return the full seconds until goodput stays recovered."""
        sent: Counter[int] = Counter()
        good: Counter[int] = Counter()
        for sample in self.samples:
            second = int(sample.started_s - self.end_s)
            if sample.started_s >= self.end_s:
                sent[second] += 1
                good[second] += sample.in_time
        recovered_s = 0
        for second in range(AFTER_TRIGGER_S):
            if good[second] < RECOVERED_SHARE * sent[second]:
                recovered_s = second + 1
        return recovered_s

    def _wasted(self) -> float:
        work_ms: Counter[str] = Counter()
        for counts in self.counts_by_service.values():
            work_ms.update(counts['work_ms_by_root'])
        wasted_ms: float = 0
        spent_ms: float = 0
        for sample in self._trigger_samples(_MAX_LEVEL):
            attempts_ms = [work_ms[root] for root in sample.roots]
            spent_ms += sum(attempts_ms)
            wasted_ms += sum(attempts_ms)
            if sample.in_time:
                wasted_ms -= attempts_ms[-1]
        return wasted_ms / spent_ms if spent_ms else 0

    def _retries_max(self) -> int:
        attempts: Counter[str] = Counter()
        for counts in self.counts_by_service.values():
            attempts.update(counts['attempts_by_root'])
        return max(attempts.values()) - _CHAIN_LENGTH

    def _doubled(self) -> int:
        summary = summarize(OVERLOAD, self.samples, self.counts_by_service)
        return summary.doubled


async def run_with_nodes(*, partition: bool = False) -> BenchResult:
    """Run with nodes; ``partition`` isolates a domain during the trigger."""
    fleet = Fleet(OVERLOAD)
    try:
        return await _run_fleet(fleet, partition=partition)
    finally:
        await fleet.stop()


async def _run_fleet(fleet: Fleet, *, partition: bool) -> BenchResult:
    await fleet.start_all()
    await publish_deployment(fleet)
    await fleet.wait_ready()
    entries = {name: node.callers for name, node in fleet.node_by_name.items()}
    mode = 'ours_cut' if partition else 'ours'
    return await _run_load(mode, fleet, entries, partition=partition)


async def run_baseline(mode: str) -> BenchResult:
    """Run a baseline, where backend servers call each other directly."""
    fleet = Fleet(OVERLOAD, direct=BASELINES[mode])
    try:
        await fleet.start_servers()
        await asyncio.sleep(2)
        entries = {
            name: node.server
            for name, node in fleet.node_by_name.items()
            if node.service == 'meterdesk'
        }
        return await _run_load(mode, fleet, entries, partition=False)
    finally:
        await fleet.stop()


async def _run_load(
    mode: str,
    fleet: Fleet,
    entries: dict[str, str],
    *,
    partition: bool,
) -> BenchResult:
    plan = LoadPlan(
        OVERLOAD.operation_by_name,
        OVERLOAD.mix,
        DEADLINE_S,
        CLIENT_RETRIES,
        direct=mode in BASELINES,
    )
    load = LoadGenerator(plan, list(entries.values()), seed=1)
    await load.run(REQUESTS_PER_S, WARM_UP_S)
    await fleet.tune(_DEEPEST_SERVICE, slow_factor=SLOW_FACTOR)
    suspended = _suspend_domain(fleet, load, entries) if partition else []
    trigger_s = time.monotonic()
    await load.run(REQUESTS_PER_S * DEMAND_FACTOR, TRIGGER_S)
    await fleet.tune(_DEEPEST_SERVICE, slow_factor=1)
    for name in suspended:
        fleet.signal(name, signal.SIGCONT)
    end_s = time.monotonic()
    await load.run(REQUESTS_PER_S, AFTER_TRIGGER_S)
    await load.finish()
    await load.close()
    share = PARTITION_CAPACITY_SHARE if partition else 1
    counts = await fleet.execution_counts()
    return BenchResult(mode, load.samples, counts, trigger_s, end_s, share)


def _suspend_domain(
    fleet: Fleet,
    load: LoadGenerator,
    entries: dict[str, str],
) -> list[str]:
    """Suspend the nodes of a failure domain to simulate a partition."""
    names = [
        name
        for name, node in fleet.node_by_name.items()
        if node.failure_domain == 'fd-2'
    ]
    for name in names:
        fleet.signal(name, signal.SIGSTOP)
        load.entries.remove(entries[name])
    return names


async def run_all(arguments: argparse.Namespace) -> list[str]:
    """Run all modes and return the lines to print."""
    if arguments.cut:
        return (await run_with_nodes(partition=True)).lines()
    with_nodes = await run_with_nodes()
    baselines = await asyncio.gather(*map(run_baseline, BASELINES))
    return [
        line for result in (with_nodes, *baselines) for line in result.lines()
    ]


def main() -> None:
    """Parse the arguments, run and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        '--cut',
        action='store_true',
        help='run only with nodes, and cut off a failure domain meanwhile',
    )
    arguments = parser.parse_args()
    lines = uvloop.run(run_interruptibly(run_all(arguments)))
    sys.stdout.write(''.join(f'{line}\n' for line in lines or ()))


if __name__ == '__main__':
    main()
