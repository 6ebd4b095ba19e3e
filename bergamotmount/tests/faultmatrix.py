"""The fault matrix: every fault at every step of a call.

A cell is one small world of six hosts under virtual time, one request, and
one or two faults that strike at a named step. Afterwards everything that was
promised is compared with what the fake backend servers really ran. One cell
runs alone with::

    python -m bergamotmount.tests.faultmatrix 'kill@sent:home:once:1'
"""

import asyncio
import dataclasses
import itertools
import random
import sys
from collections import Counter, defaultdict

from bergamotmount import events
from bergamotmount.acceptance import VerdictKind
from bergamotmount.clock import LoopClock
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.publishing import Publisher
from bergamotmount.reasons import UnknownReason
from bergamotmount.request import Request
from bergamotmount.tests.fakes import FakeHost, World, operation, record
from bergamotmount.tests.faults import FAULT_BY_NAME
from bergamotmount.tests.virtualtime import run_virtual

RETRIES = 3
SETTLE_S = 5
CLIENT_TIMEOUT_S = 2.5
LEAVING_MS = 2000
PUBLISH_MS = 30_000

STEP_BY_NAME = {
    'accepted': 'accepted',
    'context': 'context made',
    'routed': 'routed',
    'sent': 'sent Call',
    'queued': 'arrived Call',
    'admitted': 'admitted',
    'dispatched': 'dispatched',
    'running': 'running',
    'answered': 'answered',
    'returned': 'sent Answer',
}
TARGETS = ('entry', 'home')
KINDS = ('many', 'once')


@dataclasses.dataclass(frozen=True)
class Cell:
    """One cell: faults, the step they strike at, whom, and in which call."""

    faults: tuple[str, ...]
    step: str
    target: str
    kind: str
    occurrence: int

    @property
    def name(self) -> str:
        faults = '+'.join(self.faults)
        return (
            f'{faults}@{self.step}:{self.target}:{self.kind}:{self.occurrence}'
        )

    @classmethod
    def parse(cls, name: str) -> 'Cell':
        faults, _, rest = name.partition('@')
        step, target, kind, occurrence = rest.split(':')
        return cls(
            tuple(faults.split('+')), step, target, kind, int(occurrence)
        )


class CellRun:
    """Runs one cell and collects broken promises."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.world = World()
        self.problems: list[str] = []
        self.told: list[tuple[str, object]] = []
        self.home: FakeHost | None = None
        self.drained_ms: dict[str, float] = {}
        self.returned_ms: dict[str, float] = {}
        self.stopped: set[str] = set()
        self.calls_by_root: dict[str, Counter] = defaultdict(Counter)
        self.offsets: dict[int, int] = {}
        self.client_gone = False
        self._seen = 0
        self._struck = False
        self._faults: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        events.policy_accepted.connect(self._on_policy)
        await self._start()
        self.world.on_step = self._on_step
        self._at_step('accepted')
        await self._client('k')
        self._strike_if_not_yet()
        await asyncio.gather(*self._faults)
        await asyncio.sleep(SETTLE_S)
        self.world.on_step = None
        await self._check_recovery()
        self._check()
        events.policy_accepted.disconnect(self._on_policy)
        self.world.close()
        await asyncio.sleep(0)
        return self.problems

    async def _start(self) -> None:
        world = self.world
        world.seeds = ('e1', 'a2')
        world.callees = {'order': 'b/charge', 'read': 'b/look'}
        await world.publish(
            record('retries', {'per_request': RETRIES, 'ratio': 1}),
            record('servers', {'slow_start_ms': 0, 'drain_ms': 2000}),
            record(
                'service/a',
                {
                    'operations': {
                        'order': operation(0, False, 'b/charge'),
                        'read': operation(1, True, 'b/look'),
                    },
                },
            ),
            record(
                'service/b',
                {
                    'operations': {
                        'charge': operation(0, False),
                        'look': operation(1, True),
                    },
                },
            ),
        )
        for name, service, domain in (
            ('e1', 'c', 'fd-1'),
            ('e2', 'c', 'fd-2'),
            ('a1', 'a', 'fd-1'),
            ('a2', 'a', 'fd-2'),
            ('b1', 'b', 'fd-1'),
            ('b2', 'b', 'fd-2'),
        ):
            world.add(name, service, domain).start()
        await asyncio.sleep(3)
        self.home = world.host_by_name['a1']

    async def _client(self, key: str) -> object:
        """Ask like a patient client: again while the outcome isn't known."""
        ticket = ''
        asked = key
        name = 'order' if self.cell.kind == 'once' else 'read'
        for attempt in range(5):
            entry = self._entry(attempt)
            if not ticket:
                asked = f'{key}.{attempt}'
            outcome = await self._ask(entry, name, asked, ticket)
            self.told.append((asked, outcome))
            match outcome:
                case Answered():
                    return outcome
                case NotRun(ticket=fresh):
                    asked = f'{key}.{attempt + 1}'
                    ticket = fresh
                case Unknown(reason) if ticket and reason in {
                    UnknownReason.HOME_RESTARTED,
                    UnknownReason.TICKET_EXPIRED,
                }:
                    return outcome
            await asyncio.sleep(0.4)
        return outcome

    async def _ask(self, entry, name: str, key: str, ticket: str) -> object:
        request = Request('a', name, body=key.encode(), ticket=ticket)
        task = entry.spawn(entry.node.egress.call(request))
        done, _ = await asyncio.wait([task], timeout=CLIENT_TIMEOUT_S)
        if not done:
            self.client_gone = True
            task.cancel()
            return Unknown(UnknownReason.ANSWER_LATE)
        if task.cancelled():
            return Unknown(UnknownReason.ANSWER_LOST)
        return task.result()

    def _entry(self, attempt: int) -> FakeHost:
        entries = [self.world.host_by_name[name] for name in ('e1', 'e2')]
        alive = [entry for entry in entries if entry.is_alive]
        return alive[attempt % len(alive)]

    def _on_step(self, name: str, host: FakeHost | None, message) -> None:
        if name == 'sent Call':
            self.calls_by_root[message.root][message.operation] += 1
        if name == 'dispatched' and host is not None:
            self.home = host
        self._at_step(name)

    def _at_step(self, name: str) -> None:
        if name != STEP_BY_NAME[self.cell.step] or self._struck:
            return
        self._seen += 1
        if self._seen >= self.cell.occurrence:
            self._strike_if_not_yet()

    def _strike_if_not_yet(self) -> None:
        if self._struck:
            return
        self._struck = True
        loop = asyncio.get_running_loop()
        target = self.home
        if self.cell.target == 'entry':
            target = self.world.host_by_name['e1']
        for fault in self.cell.faults:
            effect = FAULT_BY_NAME[fault](self, target)
            self._faults.append(loop.create_task(effect))
        publish = self._publish()
        self._faults.append(loop.create_task(publish))

    async def _publish(self) -> None:
        publisher = Publisher(LoopClock(), self.world.log)
        body = {'per_request': RETRIES, 'ratio': 1}
        document = record('retries', body, 0, record_id='published')
        verdict = await publisher.publish(document, PUBLISH_MS)
        if getattr(verdict, 'kind', None) is not VerdictKind.ACCEPTED:
            self._problem(f'record not accepted: {verdict}')

    async def _check_recovery(self) -> None:
        for kind in KINDS:
            name = 'order' if kind == 'once' else 'read'
            for entry in ('e1', 'e2'):
                host = self.world.host_by_name[entry]
                if not host.is_alive or entry in self.stopped:
                    continue
                outcome = await self._ask(
                    host, name, f'after-{kind}-{entry}', ''
                )
                if isinstance(outcome, NotRun) and outcome.ticket:
                    outcome = await self._ask(
                        host,
                        name,
                        f'after-{kind}-{entry}',
                        outcome.ticket,
                    )
                if not isinstance(outcome, Answered) or outcome.status != 200:
                    self._problem(f'no recovery at {entry} {kind}: {outcome}')

    def _check(self) -> None:
        self._check_told()
        self._check_retries()
        self._check_departure()
        self._check_policy()

    def _check_told(self) -> None:
        runs = self.world.truth.runs
        for key, count in runs.items():
            if self.cell.kind == 'once' and key.startswith('k') and count > 1:
                self._problem(f'{key} ran {count} times')
        first_runs = [key for key in runs if key[0] == 'k' and '/' not in key]
        if self.cell.kind == 'once' and len(first_runs) > 1:
            self._problem(f'one order ran as {first_runs}')
        for key, outcome in self.told:
            match outcome:
                case Answered(200, _, body) if body != key.encode():
                    self._problem(f'{key} got the answer {body!r}')
                case Answered(200) if not _finished(self.world, key):
                    self._problem(f'{key} answered without being run')
                case Answered(500):
                    self._problem(f'{key} got an answer to another request')
                case NotRun(reason) if runs[key] and not _is_other_try(
                    self.told,
                    key,
                    outcome,
                ):
                    self._problem(f'{key} called not run ({reason}) but ran')

    def _check_retries(self) -> None:
        for root, counts in self.calls_by_root.items():
            retries = sum(counts.values()) - len(counts)
            if retries > RETRIES:
                self._problem(f'{retries} retries for {root}')

    def _check_departure(self) -> None:
        for name, drained_ms in self.drained_ms.items():
            late = [
                at_ms
                for host, at_ms in self.world.truth.starts
                if host == name
                and at_ms > drained_ms + LEAVING_MS
                and not drained_ms <= self._returned(name) <= at_ms
            ]
            if late:
                self._problem(f'{name} got new work {late} after {drained_ms}')
        if set(self.cell.faults) == {'stop'} and not self.client_gone:
            for name, key in self.world.truth.interrupted:
                self._problem(f'planned stop interrupted {key} at {name}')

    def _returned(self, name: str) -> float:
        """Return when a server that had left asked for work again."""
        return self.returned_ms.get(name, float('inf'))

    def _check_policy(self) -> None:
        newest = len(self.world.log.bodies_by_stream['policy']) - 1
        for host in self.world.host_by_name.values():
            if not host.is_alive or host.name in self.stopped:
                continue
            offset = host.node.distribution.state.offset
            if offset < newest:
                self._problem(f'{host.name} has policy {offset} of {newest}')

    def _on_policy(self, sender: object, offset: int) -> None:
        if offset < self.offsets.get(id(sender), -1):
            self._problem(f'policy went back to {offset}')
        self.offsets[id(sender)] = offset

    def _on_exception(self, _loop, context: dict) -> None:
        self._problem(f'exception: {context.get("exception")!r}')

    def _problem(self, text: str) -> None:
        self.problems.append(text)


def _finished(world: World, key: str) -> bool:
    children = [
        child for child in world.truth.finished if child.startswith(f'{key}/')
    ]
    return bool(world.truth.finished[key] and children)


def _is_other_try(told: list, key: str, refused: object) -> bool:
    """Whether an idempotent request was tried again under the same key."""
    return any(other is not refused and asked == key for asked, other in told)


def single_cells() -> list[Cell]:
    """Return the product of faults, steps, targets, kinds and occurrences."""
    return [
        Cell((fault,), step, target, kind, occurrence)
        for fault, step, target, kind, occurrence in itertools.product(
            FAULT_BY_NAME,
            STEP_BY_NAME,
            TARGETS,
            KINDS,
            (1, 2),
        )
        if step != 'accepted' or occurrence == 1
    ]


def paired_cells(count: int, seed: int) -> list[Cell]:
    """Return a sample of cells with two faults at once."""
    rng = random.Random(seed)
    pairs = list(itertools.combinations(FAULT_BY_NAME, 2))
    return [
        Cell(
            rng.choice(pairs),
            rng.choice(list(STEP_BY_NAME)),
            rng.choice(TARGETS),
            rng.choice(KINDS),
            rng.choice((1, 2)),
        )
        for _ in range(count)
    ]


def run_cell(cell: Cell) -> list[str]:
    """Return the promises that a cell broke."""
    return run_virtual(CellRun(cell).run())


def main() -> None:
    """Run the cells that are named, or all."""
    cells = [Cell.parse(name) for name in sys.argv[1:]] or single_cells()
    broken = 0
    for cell in cells:
        problems = run_cell(cell)
        broken += bool(problems)
        for problem in problems:
            sys.stdout.write(f'{cell.name}: {problem}\n')
    sys.stdout.write(f'{len(cells)} cells, {broken} broken\n')


if __name__ == '__main__':
    main()
