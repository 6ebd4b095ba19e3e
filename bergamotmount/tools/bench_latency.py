"""Latency of calls: direct, through two nodes, and through a bare forward.

In one run with an open loop, the three paths alternate in slices of one
second. Targets: 0.52 ms of added latency at the 99th percentile on the users'
hosts, and at most 1.25 times the added median latency and the processor time
of the bare forward.
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
    ServiceSize,
)
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.ports import free_addresses
from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.publish import publish_deployment

PATHS = ('direct', 'through', 'bare')

#: Maximum latency that the histograms record, in microseconds.
MAX_LATENCY_US = 10_000_000

_US_PER_S = 1_000_000
_US_PER_MS = 1000
_BODY_BYTES = 200
_MEDIAN = 50
_P99 = 99

BENCH = Deployment(
    name='latency',
    region='bench',
    service_by_name={
        'front': ServiceSize(1, 100, 100),
        'echo': ServiceSize(1, 100, 100),
    },
    operation_by_name={'echo/run': DemoOperation(1, True, 0)},
    mix={},
)


class LatencyBench:
    """Processes and measurements of the benchmark."""

    def __init__(self, rate: float) -> None:
        """Plan the processes; each path gets ``rate`` calls a second."""
        self.fleet = Fleet(BENCH)
        self.histogram_by_path = {
            path: HdrHistogram(1, MAX_LATENCY_US, 3) for path in PATHS
        }
        self.cpu_s_by_path: dict[str, float] = defaultdict(float)
        self.calls_by_path: dict[str, int] = defaultdict(int)
        self.failures = 0
        self._rate = rate
        self._rng = random.Random(1)
        self._url_by_path: dict[str, str] = {}
        self._pids_by_path: dict[str, list[int]] = {}

    async def start(self) -> None:
        """Start all processes and publish the policy."""
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
        self._url_by_path = {
            'direct': f'{url}/run',
            'through': f'http://{front.callers}/call/echo/run',
            'bare': f'http://{egress}/run',
        }
        self._pids_by_path = {
            'direct': [],
            'through': [fleet.pid('front-1'), fleet.pid('echo-1')],
            'bare': [fleet.pid('bare-egress'), fleet.pid('bare-ingress')],
        }

    async def run(self, rounds: int) -> None:
        """Alternate the paths; the first round is an unmeasured warm-up."""
        renew_task = asyncio.create_task(self._renew_announcement())
        async with aiohttp.ClientSession() as session:
            for number in range(rounds + 1):
                for path in self._rng.sample(PATHS, len(PATHS)):
                    await self._run_slice(session, path, is_measured=number > 0)
        renew_task.cancel()

    def report(self) -> list[str]:
        """Return the lines to print."""
        figures: dict[str, float] = {}
        for path, percentile in itertools.product(PATHS, (_MEDIAN, _P99)):
            histogram = self.histogram_by_path[path]
            latency_us = histogram.get_value_at_percentile(percentile)
            figures[f'{path}_p{percentile}_ms'] = latency_us / _US_PER_MS
        for path, prefix in (('through', ''), ('bare', 'bare_')):
            for percentile in (_MEDIAN, _P99):
                added = (
                    figures[f'{path}_p{percentile}_ms']
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
            f'calls {sum(self.calls_by_path.values())}',
            f'failures {self.failures}',
        ]

    async def _renew_announcement(self) -> None:
        while True:
            await self.fleet.announce(self.fleet.node_by_name['echo-1'])
            await asyncio.sleep(1)

    async def _run_slice(
        self,
        session: aiohttp.ClientSession,
        path: str,
        *,
        is_measured: bool,
    ) -> None:
        before_s = sum(map(cpu_s, self._pids_by_path[path]))
        tasks = []
        next_s = time.monotonic()
        end_s = next_s + 1
        while next_s < end_s:
            await asyncio.sleep(max(next_s - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self._call(session, path)))
            next_s += self._rng.expovariate(self._rate)
        latencies_us = await asyncio.gather(*tasks)
        if not is_measured:
            return
        self.calls_by_path[path] += len(tasks)
        after_s = sum(map(cpu_s, self._pids_by_path[path]))
        self.cpu_s_by_path[path] += after_s - before_s
        for latency_us in latencies_us:
            self.histogram_by_path[path].record_value(latency_us)

    async def _call(self, session: aiohttp.ClientSession, path: str) -> int:
        started_s = time.perf_counter()
        async with session.post(
            self._url_by_path[path],
            data=b'x' * _BODY_BYTES,
            headers={'Content-Type': 'application/json'},
        ) as response:
            body = await response.read()
            is_complete = response.status == 200 and len(body) == _BODY_BYTES
        self.failures += not is_complete
        return max(int((time.perf_counter() - started_s) * _US_PER_S), 1)

    def _cpu_us(self, path: str) -> float:
        return self.cpu_s_by_path[path] * _US_PER_S / self.calls_by_path[path]


def cpu_s(pid: int) -> float:
    """Return the processor time used by a process, in seconds."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as source:
        fields = source.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


async def run(arguments: argparse.Namespace) -> None:
    """Run the benchmark and print its figures."""
    bench = LatencyBench(arguments.rate)
    try:
        await bench.start()
        await bench.run(arguments.rounds)
    finally:
        await bench.fleet.stop()
    sys.stdout.write(''.join(f'{line}\n' for line in bench.report()))
    sys.exit(1 if bench.failures else 0)


def main() -> None:
    """Parse the arguments and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--rate', type=float, default=200)
    parser.add_argument('--rounds', type=int, default=8)
    uvloop.run(run_interruptibly(run(parser.parse_args())))


if __name__ == '__main__':
    main()
