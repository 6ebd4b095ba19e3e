"""Latency of calls: direct, through two nodes, and through a bare forward.

The three ways take turns in slices of one second, in one run, open loop.
Targets: 0.52 ms added for 99 in 100 on the users' hosts, and at most 1.25
times the median and processor time of the bare forward.
"""

import argparse
import asyncio
import itertools
import os
import random
import sys
import time
from collections import defaultdict

import aiohttp
import uvloop
from hdrh.histogram import HdrHistogram

from bergamotmount.tools.deployments import (
    DemoOperation,
    Deployment,
    ServiceFigures,
)
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.process import free_addresses, run_interruptibly
from bergamotmount.tools.publish import publish_deployment

WAYS = ('direct', 'through', 'bare')

#: Longest latency that the histograms hold, in microseconds.
MAX_US = 10_000_000

_US_PER_S = 1_000_000
_US_PER_MS = 1000
_BODY_BYTES = 200
_MEDIAN = 50
_P99 = 99

BENCH = Deployment(
    name='latency',
    region='bench',
    service_by_name={
        'front': ServiceFigures(1, 100, 100),
        'echo': ServiceFigures(1, 100, 100),
    },
    operation_by_name={'echo/run': DemoOperation(1, True, 0)},
    mix={},
)


class Bench:
    """The processes of the benchmark and what was measured."""

    def __init__(self, rate: float) -> None:
        """Plan the processes; each way gets ``rate`` calls a second."""
        self.fleet = Fleet(BENCH)
        self.histogram_by_way = {
            way: HdrHistogram(1, MAX_US, 3) for way in WAYS
        }
        self.cpu_s_by_way: dict[str, float] = defaultdict(float)
        self.calls_by_way: dict[str, int] = defaultdict(int)
        self.failures = 0
        self._rate = rate
        self._rng = random.Random(1)
        self._url_by_way: dict[str, str] = {}
        self._pids_by_way: dict[str, list[int]] = {}

    async def start(self) -> None:
        """Start all processes."""
        fleet = self.fleet
        echo = next(
            node
            for node in fleet.node_by_name.values()
            if node.service == 'echo'
        )
        front = fleet.node_by_name['front-1']
        ingress, egress = free_addresses(2)
        url = f'http://{echo.server}'
        await fleet.start_log()
        await fleet.start_tool(
            'echo', 'bare_forward', 'echo', '--listen', echo.server
        )
        await fleet.start_nodes()
        await fleet.wait_up()
        await fleet.announce(echo)
        await publish_deployment(fleet)
        await fleet.start_tool(
            'bare-ingress',
            'bare_forward',
            'ingress',
            '--listen',
            ingress,
            '--target',
            f'{url}/run',
        )
        await asyncio.sleep(2)
        await fleet.start_tool(
            'bare-egress',
            'bare_forward',
            'egress',
            '--listen',
            egress,
            '--target',
            ingress,
        )
        await asyncio.sleep(1)
        self._url_by_way = {
            'direct': f'{url}/run',
            'through': f'http://{front.callers}/call/echo/run',
            'bare': f'http://{egress}/run',
        }
        self._pids_by_way = {
            'direct': [],
            'through': [fleet.pid('front-1'), fleet.pid('echo-1')],
            'bare': [fleet.pid('bare-egress'), fleet.pid('bare-ingress')],
        }

    async def run(self, rounds: int) -> None:
        """Let the ways take turns; the first round only warms up."""
        renewing = asyncio.create_task(self._renew())
        async with aiohttp.ClientSession() as session:
            for number in range(rounds + 1):
                for way in self._rng.sample(WAYS, len(WAYS)):
                    await self._slice(session, way, is_warm=number > 0)
        renewing.cancel()

    def report(self) -> list[str]:
        """Return the lines to print."""
        figures: dict[str, float] = {}
        for way, percentile in itertools.product(WAYS, (_MEDIAN, _P99)):
            histogram = self.histogram_by_way[way]
            latency_us = histogram.get_value_at_percentile(percentile)
            figures[f'{way}_p{percentile}_ms'] = latency_us / _US_PER_MS
        for way, prefix in (('through', ''), ('bare', 'bare_')):
            for percentile in (_MEDIAN, _P99):
                added = (
                    figures[f'{way}_p{percentile}_ms']
                    - figures[f'direct_p{percentile}_ms']
                )
                figures[f'{prefix}added_p{percentile}_ms'] = added
        figures['node_cpu_us_per_call'] = self._cpu_us('through')
        figures['bare_cpu_us_per_call'] = self._cpu_us('bare')
        figures['ratio_added_p50'] = (
            figures['added_p50_ms'] / figures['bare_added_p50_ms']
        )
        figures['ratio_cpu'] = (
            figures['node_cpu_us_per_call'] / figures['bare_cpu_us_per_call']
        )
        lines = [f'{name} {figure:.3f}' for name, figure in figures.items()]
        return [
            *lines,
            f'calls {sum(self.calls_by_way.values())}',
            f'failures {self.failures}',
        ]

    async def _renew(self) -> None:
        while True:
            await self.fleet.announce(self.fleet.node_by_name['echo-1'])
            await asyncio.sleep(1)

    async def _slice(
        self,
        session: aiohttp.ClientSession,
        way: str,
        *,
        is_warm: bool,
    ) -> None:
        before_s = sum(map(cpu_s, self._pids_by_way[way]))
        tasks = []
        next_s = time.monotonic()
        end_s = next_s + 1
        while next_s < end_s:
            await asyncio.sleep(max(next_s - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self._call(session, way)))
            next_s += self._rng.expovariate(self._rate)
        latencies_us = await asyncio.gather(*tasks)
        if not is_warm:
            return
        self.calls_by_way[way] += len(tasks)
        after_s = sum(map(cpu_s, self._pids_by_way[way]))
        self.cpu_s_by_way[way] += after_s - before_s
        for latency_us in latencies_us:
            self.histogram_by_way[way].record_value(latency_us)

    async def _call(self, session: aiohttp.ClientSession, way: str) -> int:
        started_s = time.perf_counter()
        async with session.post(
            self._url_by_way[way],
            data=b'x' * _BODY_BYTES,
            headers={'Content-Type': 'application/json'},
        ) as response:
            body = await response.read()
            is_whole = response.status == 200 and len(body) == _BODY_BYTES
        self.failures += not is_whole
        return max(int((time.perf_counter() - started_s) * _US_PER_S), 1)

    def _cpu_us(self, way: str) -> float:
        return self.cpu_s_by_way[way] * _US_PER_S / self.calls_by_way[way]


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as source:
        fields = source.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


async def run(arguments: argparse.Namespace) -> None:
    """Run the benchmark and print its lines."""
    bench = Bench(arguments.rate)
    try:
        await bench.start()
        await bench.run(arguments.rounds)
    finally:
        await bench.fleet.stop()
    sys.stdout.write(''.join(f'{line}\n' for line in bench.report()))
    sys.exit(1 if bench.failures else 0)


def main() -> None:
    """Parse arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--rate', type=float, default=200)
    parser.add_argument('--rounds', type=int, default=8)
    uvloop.run(run_interruptibly(run(parser.parse_args())))


if __name__ == '__main__':
    main()
