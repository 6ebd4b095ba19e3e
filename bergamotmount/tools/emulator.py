"""Emulation of one bottleneck service that chains of calls lead to.

Requests of three kinds arrive at a rate that the scenario sets. Two of the
kinds lead to a chain of calls to one service, whose servers differ in speed;
the third makes a single call. Thresholds, admission and routing are decided
by the classes of the node. Time is virtual, so a scenario runs in seconds and
its result depends only on the seed. The emulation serves to compare decision
algorithms and models no particular deployment::

    python -m bergamotmount.tools.emulator
"""

import argparse
import asyncio
import collections
import dataclasses
import math
import random
import sys
from collections.abc import Callable

from bergamotmount.admission import Admission
from bergamotmount.clock import MS_PER_SECOND, LoopClock
from bergamotmount.forwarding.latencyrouter import LatencyRouter
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.threshold import ThresholdController
from bergamotmount.tools.virtualloop import run_virtual

SERVICE = 'leaf'

#: Median service time of a call at speed 1, and sigma of its log-normal factor.
MEDIAN_SERVICE_MS = 40
SERVICE_TIME_SIGMA = 0.45

#: Utilization from which a server slows down, and its service time factor.
KNEE_UTILIZATION = 0.95
KNEE_FACTOR = 1.3

#: Time until a change of a threshold is effective at the entries.
THRESHOLD_DELAY_MS = 60

#: Range of the time from entry to first call, and of that between calls.
FIRST_CALL_DELAY_MS = (30, 300)
NEXT_CALL_DELAY_MS = (2, 10)

#: Start of a scenario that isn't counted, as no measurements exist yet.
WARM_UP_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request: its share of the demand, level, calls and worth."""

    name: str
    share: float
    level: int
    calls: int
    worth: int
    timeout_ms: float


REQUEST_KINDS = (
    RequestKind('order', 0.22, 0, 8, 3, 1000),
    RequestKind('ticket', 0.17, 1, 1, 2, 700),
    RequestKind('read', 0.61, 2, 8, 1, 1000),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of one run.

    ``rate`` gives the requests a second and ``slowdown`` the factor on service
    times at a given second; ``shed_share`` gives the share of calls that a
    server sheds, by the number of the server.
    """

    name: str
    rate: Callable[[float], float]
    slowdown: Callable[[float], float] = lambda _: 1
    shed_share: Callable[[int], float] = lambda _: 0
    speeds: tuple[float, ...] = (0.5, 1, 1, 1.5)
    slots: int = 16
    headroom: float = 0.06
    seconds: float = 12


SCENARIOS = (
    Scenario('calm', lambda _: 150),
    Scenario('steady', lambda _: 260),
    Scenario('jump', lambda second: 170 if second < 4 else 340),
    Scenario('wave', lambda second: 240 + 72 * math.sin(second / 2)),
    Scenario(
        'slowed',
        lambda _: 170,
        slowdown=lambda second: 3 if 4 < second < 9 else 1,
    ),
    Scenario(
        'shedding',
        lambda _: 150,
        shed_share=lambda server: 0.5 if server == 1 else 0,
    ),
)


class EmulatedServer:
    """One server of the bottleneck service, behind the admission control."""

    def __init__(self, number: int, emulation: 'Emulation') -> None:
        """Start idle as server ``number`` of the scenario."""
        scenario = emulation.scenario
        clock, rng = emulation.clock, emulation.rng
        self.node = f'leaf-{number}'
        self.shed_share = scenario.shed_share(number)
        self._emulation = emulation
        self._work_ms = MEDIAN_SERVICE_MS / scenario.speeds[number]
        limit = ConcurrencyLimit(clock, scenario.headroom)
        limit.update_slots(scenario.slots)
        service_time = ServiceTime(clock)
        self.controller = ThresholdController(clock, limit, service_time)
        self.admission = Admission(
            clock,
            limit,
            service_time,
            self.controller,
            rng,
        )

    async def run(self, request: 'Request', is_retry: bool) -> bool:
        """Run one call; return whether it completed."""
        refusal = await self.admission.acquire(
            request.rank,
            request.deadline_ms,
            is_nested=request.kind.calls > 1,
            is_retry=is_retry,
        )
        if refusal is not None:
            return False
        try:
            return await self._execute()
        finally:
            self.admission.release()

    async def _execute(self) -> bool:
        emulation = self._emulation
        if emulation.rng.random() < self.shed_share:
            return False
        utilization = self.admission.in_flight / emulation.scenario.slots
        factor = KNEE_FACTOR if utilization >= KNEE_UTILIZATION else 1
        factor *= emulation.scenario.slowdown(emulation.now_s)
        factor *= emulation.rng.lognormvariate(0, SERVICE_TIME_SIGMA)
        work_ms = self._work_ms * factor
        await emulation.clock.sleep(work_ms)
        self.admission.service_time.add_sample(work_ms)
        return True


@dataclasses.dataclass(slots=True)
class Request:
    """One request that the entry has admitted."""

    kind: RequestKind
    rank: float
    deadline_ms: float


class Emulation:
    """Runs one scenario; must be created in a running event loop."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        """Draw all random numbers from a generator with ``seed``."""
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.count_by_outcome: collections.Counter = collections.Counter()
        local_node = Member('entry', 'entry', 'r', 'fd', 1)
        members = Members(self.clock, local_node)
        self._router = LatencyRouter(self.clock, members, self.rng)
        self._server_by_node: dict[str, EmulatedServer] = {}
        self._threshold_history: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        for number, _ in enumerate(scenario.speeds):
            server = EmulatedServer(number, self)
            self._server_by_node[server.node] = server
            members.merge(_make_member(server.node, scenario.slots))

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self.clock.now_ms() / MS_PER_SECOND

    async def run(self) -> None:
        """Run the scenario to its end."""
        tasks = []
        while self.now_s < self.scenario.seconds:
            rate = self.scenario.rate(self.now_s)
            pause_ms = self.rng.expovariate(rate / MS_PER_SECOND)
            await self.clock.sleep(pause_ms)
            tasks.append(asyncio.create_task(self._send_request()))
        await asyncio.gather(*tasks)

    def share(self, outcome: str, kind: str) -> float:
        """Return the share of requests of ``kind`` with this outcome."""
        asked = self.count_by_outcome['asked', kind]
        return self.count_by_outcome[outcome, kind] / max(asked, 1)

    def worth(self) -> float:
        """Return the worth of served requests as a share of all worth."""
        served = sum(
            kind.worth * self.count_by_outcome['served', kind.name]
            for kind in REQUEST_KINDS
        )
        asked = sum(
            kind.worth * self.count_by_outcome['asked', kind.name]
            for kind in REQUEST_KINDS
        )
        return served / asked

    async def _send_request(self) -> None:
        kind = self.rng.choices(
            REQUEST_KINDS, [each.share for each in REQUEST_KINDS]
        )[0]
        now_ms = self.clock.now_ms()
        rank = kind.level + self.rng.random()
        is_counted = now_ms >= WARM_UP_MS
        outcome = 'refused'
        if rank <= self._entry_threshold(now_ms):
            request = Request(kind, rank, now_ms + kind.timeout_ms)
            outcome = 'served' if await self._run_calls(request) else 'failed'
        self.count_by_outcome['asked', kind.name] += is_counted
        self.count_by_outcome[outcome, kind.name] += is_counted

    async def _run_calls(self, request: Request) -> bool:
        if request.kind.calls > 1:
            await self.clock.sleep(self.rng.uniform(*FIRST_CALL_DELAY_MS))
        for _ in range(request.kind.calls):
            if not await self._call(request):
                return False
            await self.clock.sleep(self.rng.uniform(*NEXT_CALL_DELAY_MS))
        return self.clock.now_ms() <= request.deadline_ms

    async def _call(self, request: Request) -> bool:
        tried: set[str] = set()
        while True:
            member = self._router.pick(SERVICE, tried)
            if member is None:
                return False
            tried.add(member.node)
            if await self._call_server(member.node, request, len(tried) > 1):
                return True

    async def _call_server(
        self, node: str, request: Request, is_retry: bool
    ) -> bool:
        server = self._server_by_node[node]
        self._router.begin_call(node)
        is_completed = await server.run(request, is_retry)
        self._router.end_call(node)
        admission = server.admission
        self._router.record_load(node, admission.load_permille)
        service_ms = admission.service_time.current_ms()
        self._router.record_answer(node, service_ms, is_completed)
        return is_completed

    def _entry_threshold(self, now_ms: float) -> float:
        servers = self._server_by_node.values()
        ranks = [server.controller.threshold() for server in servers]
        self._threshold_history.append((now_ms, sum(ranks) / len(ranks)))
        visible_ms = now_ms - THRESHOLD_DELAY_MS
        while (
            len(self._threshold_history) > 1
            and self._threshold_history[1][0] <= visible_ms
        ):
            self._threshold_history.popleft()
        return self._threshold_history[0][1]


def _make_member(node: str, slots: int) -> Member:
    return Member(node, node, 'r', 'fd', 1, service=SERVICE, slots=slots)


async def emulate(scenario: Scenario, seed: int = 1) -> Emulation:
    """Run a scenario and return its emulation."""
    emulation = Emulation(scenario, seed)
    await emulation.run()
    return emulation


def main() -> None:
    """Run all scenarios and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for scenario in SCENARIOS:
        emulation = run_virtual(emulate(scenario, seed))
        columns = [f'{scenario.name:10}', f'worth {emulation.worth():.3f}']
        for kind in REQUEST_KINDS:
            served = emulation.share('served', kind.name)
            failed = emulation.share('failed', kind.name)
            columns.append(f'{kind.name} {served:.3f} (failed {failed:.3f})')
        sys.stdout.write(f'{"  ".join(columns)}\n')


if __name__ == '__main__':
    main()
