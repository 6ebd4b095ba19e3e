"""The fault matrix: every fault at every step of a call.

A cell simulates six hosts under virtual time and one request, with one or two
faults that are injected at a named step. Afterwards the outcomes reported to
the client are compared with the executions at the fake backend servers. A
single cell is run with::

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
from bergamotmount.tests.fakes import FakeHost, Simulation, operation, record
from bergamotmount.tests.faults import FAULT_BY_NAME
from bergamotmount.tests.virtualtime import run_virtual

RETRIES_PER_REQUEST = 3
SETTLE_S = 5
CLIENT_TIMEOUT_S = 2.5
DEPARTURE_GRACE_MS = 2000
PUBLISH_TIMEOUT_MS = 30_000

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
    """Faults, the step at which they are injected, and their target.

    ``kind`` is "many" for an idempotent operation and "once" for one that must
    not run twice. The faults are injected when the step is reached for the
    ``occurrence``-th time.
    """

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


class CellRunner:
    """Runs one cell and collects violated guarantees in ``problems``."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.simulation = Simulation()
        self.problems: list[str] = []
        self.outcomes: list[tuple[str, object]] = []
        self.home: FakeHost | None = None
        self.departed_ms_by_host: dict[str, float] = {}
        self.returned_ms_by_host: dict[str, float] = {}
        self.stopped_hosts: set[str] = set()
        self.call_counts_by_root: dict[str, Counter] = defaultdict(Counter)
        self.offset_by_sender: dict[int, int] = {}
        self.client_gave_up = False
        self._occurrences = 0
        self._are_faults_injected = False
        self._fault_tasks: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        events.policy_accepted.connect(self._on_policy_accepted)
        await self._start()
        self.simulation.on_step = self._on_step
        self._at_step('accepted')
        await self._send_as_client('k')
        self._inject_faults_once()
        await asyncio.gather(*self._fault_tasks)
        await asyncio.sleep(SETTLE_S)
        self.simulation.on_step = None
        await self._check_recovery()
        self._check()
        events.policy_accepted.disconnect(self._on_policy_accepted)
        self.simulation.close()
        await asyncio.sleep(0)
        return self.problems

    async def _start(self) -> None:
        simulation = self.simulation
        simulation.seeds = ('e1', 'a2')
        simulation.callees = {'order': 'b/charge', 'read': 'b/look'}
        await simulation.publish(
            record('retries', {'per_request': RETRIES_PER_REQUEST, 'ratio': 1}),
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
            simulation.add_host(name, service, domain).start()
        await asyncio.sleep(3)
        self.home = simulation.host_by_name['a1']

    async def _send_as_client(self, key: str) -> object:
        """Make up to five attempts at one request, as a client does.

        After a refusal with a ticket, the client retries with that ticket. It
        stops at an answer, or when the ticket can no longer give the outcome.
        """
        ticket = ''
        sent_key = key
        name = 'order' if self.cell.kind == 'once' else 'read'
        for attempt in range(5):
            entry = self._choose_entry(attempt)
            if not ticket:
                sent_key = f'{key}.{attempt}'
            outcome = await self._send_once(entry, name, sent_key, ticket)
            self.outcomes.append((sent_key, outcome))
            match outcome:
                case Answered():
                    return outcome
                case NotRun(ticket=new_ticket):
                    sent_key = f'{key}.{attempt + 1}'
                    ticket = new_ticket
                case Unknown(reason) if ticket and reason in {
                    UnknownReason.HOME_RESTARTED,
                    UnknownReason.TICKET_EXPIRED,
                }:
                    return outcome
            await asyncio.sleep(0.4)
        return outcome

    async def _send_once(
        self, entry, name: str, key: str, ticket: str
    ) -> object:
        request = Request('a', name, body=key.encode(), ticket=ticket)
        task = entry.spawn(entry.node.egress.call(request))
        done, _ = await asyncio.wait([task], timeout=CLIENT_TIMEOUT_S)
        if not done:
            self.client_gave_up = True
            task.cancel()
            return Unknown(UnknownReason.ANSWER_LATE)
        if task.cancelled():
            return Unknown(UnknownReason.ANSWER_LOST)
        return task.result()

    def _choose_entry(self, attempt: int) -> FakeHost:
        entries = [self.simulation.host_by_name[name] for name in ('e1', 'e2')]
        alive = [entry for entry in entries if entry.is_alive]
        return alive[attempt % len(alive)]

    def _on_step(self, name: str, host: FakeHost | None, message) -> None:
        if name == 'sent Call':
            self.call_counts_by_root[message.root][message.operation] += 1
        if name == 'dispatched' and host is not None:
            self.home = host
        self._at_step(name)

    def _at_step(self, name: str) -> None:
        if name != STEP_BY_NAME[self.cell.step] or self._are_faults_injected:
            return
        self._occurrences += 1
        if self._occurrences >= self.cell.occurrence:
            self._inject_faults_once()

    def _inject_faults_once(self) -> None:
        if self._are_faults_injected:
            return
        self._are_faults_injected = True
        loop = asyncio.get_running_loop()
        target = self.home
        if self.cell.target == 'entry':
            target = self.simulation.host_by_name['e1']
        for fault in self.cell.faults:
            injection = FAULT_BY_NAME[fault](self, target)
            self._fault_tasks.append(loop.create_task(injection))
        publish = self._publish()
        self._fault_tasks.append(loop.create_task(publish))

    async def _publish(self) -> None:
        publisher = Publisher(LoopClock(), self.simulation.log)
        body = {'per_request': RETRIES_PER_REQUEST, 'ratio': 1}
        document = record('retries', body, 0, record_id='published')
        verdict = await publisher.publish(document, PUBLISH_TIMEOUT_MS)
        if getattr(verdict, 'kind', None) is not VerdictKind.ACCEPTED:
            self._report_problem(f'policy record was not accepted: {verdict}')

    async def _check_recovery(self) -> None:
        for kind in KINDS:
            name = 'order' if kind == 'once' else 'read'
            for entry in ('e1', 'e2'):
                host = self.simulation.host_by_name[entry]
                if not host.is_alive or entry in self.stopped_hosts:
                    continue
                outcome = await self._send_once(
                    host, name, f'after-{kind}-{entry}', ''
                )
                if isinstance(outcome, NotRun) and outcome.ticket:
                    outcome = await self._send_once(
                        host,
                        name,
                        f'after-{kind}-{entry}',
                        outcome.ticket,
                    )
                if not isinstance(outcome, Answered) or outcome.status != 200:
                    self._report_problem(
                        f'no recovery at {entry} {kind}: {outcome}'
                    )

    def _check(self) -> None:
        self._check_outcomes()
        self._check_retries()
        self._check_departures()
        self._check_policy()

    def _check_outcomes(self) -> None:
        executions = self.simulation.execution_log.started
        for key, count in executions.items():
            if self.cell.kind == 'once' and key.startswith('k') and count > 1:
                self._report_problem(f'{key} was executed {count} times')
        root_keys = [
            key for key in executions if key[0] == 'k' and '/' not in key
        ]
        if self.cell.kind == 'once' and len(root_keys) > 1:
            self._report_problem(f'order executed under keys {root_keys}')
        for key, outcome in self.outcomes:
            match outcome:
                case Answered(200, _, body) if body != key.encode():
                    self._report_problem(f'{key} got the wrong answer {body!r}')
                case Answered(200) if not _is_finished(self.simulation, key):
                    self._report_problem(f'{key} answered without being run')
                case Answered(500):
                    self._report_problem(
                        f'{key} got a nested answer to another request'
                    )
                case NotRun(reason) if executions[
                    key
                ] and not _has_other_attempt(
                    self.outcomes,
                    key,
                    outcome,
                ):
                    self._report_problem(
                        f'{key} reported not run ({reason}) but ran'
                    )

    def _check_retries(self) -> None:
        for root, counts in self.call_counts_by_root.items():
            retries = sum(counts.values()) - len(counts)
            if retries > RETRIES_PER_REQUEST:
                self._report_problem(
                    f'{retries} retries for root request {root}'
                )

    def _check_departures(self) -> None:
        for name, departed_ms in self.departed_ms_by_host.items():
            late_ms = [
                start_ms
                for host, start_ms in self.simulation.execution_log.start_times
                if host == name
                and start_ms > departed_ms + DEPARTURE_GRACE_MS
                and not departed_ms <= self._returned_ms(name) <= start_ms
            ]
            if late_ms:
                self._report_problem(
                    f'{name} ran requests at {late_ms} after {departed_ms}'
                )
        if set(self.cell.faults) == {'stop'} and not self.client_gave_up:
            for name, key in self.simulation.execution_log.interrupted:
                self._report_problem(
                    f'planned stop interrupted {key} at {name}'
                )

    def _returned_ms(self, name: str) -> float:
        """Return when a server that had departed announced itself again."""
        return self.returned_ms_by_host.get(name, float('inf'))

    def _check_policy(self) -> None:
        newest = len(self.simulation.log.bodies_by_stream['policy']) - 1
        for host in self.simulation.host_by_name.values():
            if not host.is_alive or host.name in self.stopped_hosts:
                continue
            offset = host.node.distribution.state.offset
            if offset < newest:
                self._report_problem(
                    f'{host.name} has policy {offset} of {newest}'
                )

    def _on_policy_accepted(self, sender: object, offset: int) -> None:
        if offset < self.offset_by_sender.get(id(sender), -1):
            self._report_problem(f'policy offset went back to {offset}')
        self.offset_by_sender[id(sender)] = offset

    def _on_exception(self, _loop, context: dict) -> None:
        self._report_problem(
            f'unhandled exception: {context.get("exception")!r}'
        )

    def _report_problem(self, text: str) -> None:
        self.problems.append(text)


def _is_finished(simulation: Simulation, key: str) -> bool:
    children = [
        child
        for child in simulation.execution_log.finished
        if child.startswith(f'{key}/')
    ]
    return bool(simulation.execution_log.finished[key] and children)


def _has_other_attempt(outcomes: list, key: str, not_run: object) -> bool:
    """Whether the request was sent again under the same key."""
    return any(
        other is not not_run and sent_key == key for sent_key, other in outcomes
    )


def single_cells() -> list[Cell]:
    """Return cells for all combinations with a single fault."""
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
    """Return a random sample of cells with two faults each."""
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
    """Run a cell and return the violated guarantees."""
    return run_virtual(CellRunner(cell).run())


def main() -> None:
    """Run the cells named by the arguments, or all with a single fault."""
    cells = [Cell.parse(name) for name in sys.argv[1:]] or single_cells()
    broken_count = 0
    for cell in cells:
        problems = run_cell(cell)
        broken_count += bool(problems)
        for problem in problems:
            sys.stdout.write(f'{cell.name}: {problem}\n')
    sys.stdout.write(f'{len(cells)} cells, {broken_count} broken\n')


if __name__ == '__main__':
    main()
