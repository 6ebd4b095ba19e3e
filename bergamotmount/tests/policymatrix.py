"""Fault matrix of policy distribution: every fault at every step.

A single cell is run with::

    python -m bergamotmount.tests.policymatrix 'log-down@fetched'
"""

import asyncio
import dataclasses
import itertools
import sys

from bergamotmount import events
from bergamotmount.acceptance import Verdict, VerdictKind
from bergamotmount.clock import LoopClock
from bergamotmount.publishing import Publisher
from bergamotmount.tests import faults
from bergamotmount.tests.fakes import FakeHost, Simulation, record
from bergamotmount.tests.virtualtime import run_virtual

DISSEMINATION_S = 3
PUBLISH_TIMEOUT_MS = 30_000

#: Steps of publication, acceptance, distribution, checkpoint and restart.
STEPS = (
    'before',
    'appended',
    'read',
    'fetched',
    'handed over',
    'in force',
    'checkpoint',
    'after restart',
)


@dataclasses.dataclass(frozen=True)
class PolicyCell:
    """A fault and the step at which it is injected."""

    fault: str
    step: str

    @property
    def name(self) -> str:
        return f'{self.fault}@{self.step}'


class PolicyCellRunner:
    """Runs one cell and collects violated guarantees in ``problems``.

    Two operators publish conflicting records, and the fault is injected at
    the step of the cell.
    """

    def __init__(self, cell: PolicyCell) -> None:
        self.cell = cell
        self.simulation = Simulation()
        self.problems: list[str] = []
        self.departed_ms_by_host: dict[str, float] = {}
        self.returned_ms_by_host: dict[str, float] = {}
        self.offset_by_sender: dict[int, int] = {}
        self._is_fault_injected = False
        self._fault_tasks: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        events.policy_accepted.connect(self._on_policy_accepted)
        await self._start()
        self.simulation.on_step = self._on_step
        self._at_step('before')
        verdicts = await asyncio.gather(
            self._publish_retries('operator-one', 5),
            self._publish_retries('operator-two', 6),
        )
        await self._append_checkpoint()
        await self._restart_host()
        self._inject_fault_once()
        await asyncio.gather(*self._fault_tasks)
        await asyncio.sleep(DISSEMINATION_S)
        self._check(verdicts)
        events.policy_accepted.disconnect(self._on_policy_accepted)
        self.simulation.close()
        await asyncio.sleep(0)
        return self.problems

    async def _start(self) -> None:
        simulation = self.simulation
        simulation.seeds = ('a1', 'a2')
        await simulation.publish(record('retries', {'per_request': 3}))
        for number, domain in itertools.product((1, 2, 3), ('1', '2')):
            simulation.add_host(f'a{number}{domain}', 'a', f'fd-{domain}')
        simulation.seeds = ('a11', 'a22')
        for host in simulation.host_by_name.values():
            host.start()
        await asyncio.sleep(3)

    async def _publish_retries(self, operator: str, retries: int) -> object:
        publisher = Publisher(LoopClock(), self.simulation.log)
        body = {'per_request': retries}
        document = record('retries', body, 0, record_id=operator)
        verdict = await publisher.publish(document, PUBLISH_TIMEOUT_MS)
        self._at_step('appended')
        return verdict

    async def _append_checkpoint(self) -> None:
        await asyncio.sleep(1)
        reader = self._log_reader()
        if reader.is_alive:
            await reader.node.distribution._append_checkpoint()
        self._at_step('checkpoint')

    async def _restart_host(self) -> None:
        host = self.simulation.host_by_name['a32']
        if host.is_alive:
            host.kill()
        host.start()
        self._at_step('after restart')
        await asyncio.sleep(1)

    def _log_reader(self) -> FakeHost:
        hosts = self.simulation.host_by_name.values()
        readers = [
            host for host in hosts if host.node.distribution.is_log_reader
        ]
        return readers[0]

    def _on_step(self, name: str, _host, _message) -> None:
        step = {
            'sent PolicyFetch': 'fetched',
            'sent PolicyRecords': 'handed over',
            'sent PolicyState': 'handed over',
        }.get(name)
        if step:
            self._at_step(step)

    def _on_policy_accepted(self, sender, offset: int) -> None:
        key = id(sender)
        if offset < self.offset_by_sender.get(key, -1):
            self.problems.append(f'policy offset went back to {offset}')
        self.offset_by_sender[key] = offset
        if offset:
            self._at_step('read')
            self._at_step('in force')

    def _at_step(self, step: str) -> None:
        if step == self.cell.step:
            self._inject_fault_once()

    def _inject_fault_once(self) -> None:
        if self._is_fault_injected:
            return
        self._is_fault_injected = True
        injection = FAULT_BY_NAME[self.cell.fault](self, self._log_reader())
        self._fault_tasks.append(
            asyncio.get_running_loop().create_task(injection)
        )

    def _check(self, verdicts: list) -> None:
        alive = [
            host
            for host in self.simulation.host_by_name.values()
            if host.is_alive
        ]
        retries_by_host = {
            host.name: host.node.distribution.policy.retries.per_request
            for host in alive
        }
        accepted = [
            verdict
            for verdict in verdicts
            if isinstance(verdict, Verdict)
            and verdict.kind is VerdictKind.ACCEPTED
        ]
        if len(accepted) != 1:
            self.problems.append(
                f'not one accepted record, verdicts {verdicts}'
            )
            return
        expected = {'operator-one': 5, 'operator-two': 6}[accepted[0].record_id]
        outdated = {
            name: retries
            for name, retries in retries_by_host.items()
            if retries != expected
        }
        if outdated:
            self.problems.append(
                f'not {expected} retries everywhere: {outdated}'
            )


async def _partition_from_log(runner: PolicyCellRunner, host: FakeHost) -> None:
    for other in runner.simulation.host_by_name.values():
        if other.domain == host.domain:
            other.log.is_partitioned = True


async def _partition_domains(runner: PolicyCellRunner, host: FakeHost) -> None:
    hosts = runner.simulation.host_by_name.values()
    for one, other in itertools.permutations(hosts, 2):
        if one.domain != other.domain:
            runner.simulation.network.partition(one.name, other.name)
    await asyncio.sleep(faults.FAULT_DURATION_S)
    runner.simulation.network.partitions.clear()


async def _drop_old_records(runner: PolicyCellRunner, host: FakeHost) -> None:
    """Drop all records before a new checkpoint, then restart one host."""
    log = runner.simulation.log
    publisher = Publisher(LoopClock(), log)
    await publisher.catch_up()
    await log.append('policy', publisher.follower.state.to_checkpoint())
    log.truncate_before('policy', publisher.follower.next_offset)
    restarted = runner.simulation.host_by_name['a31']
    restarted.kill()
    restarted.start()


FAULT_BY_NAME = {
    **{
        name: faults.FAULT_BY_NAME[name]
        for name in (
            'kill',
            'restart',
            'freeze',
            'log-down',
            'log-slow',
            'lose-append',
        )
    },
    'cut-log': _partition_from_log,
    'cut-domains': _partition_domains,
    'retention': _drop_old_records,
}


def all_cells() -> list[PolicyCell]:
    """Return cells for all combinations of fault and step."""
    return [
        PolicyCell(fault, step)
        for fault, step in itertools.product(FAULT_BY_NAME, STEPS)
    ]


def run_policy_cell(cell: PolicyCell) -> list[str]:
    """Run a cell and return the violated guarantees."""
    return run_virtual(PolicyCellRunner(cell).run())


def main() -> None:
    """Run the cells named by the arguments."""
    for name in sys.argv[1:]:
        problems = run_policy_cell(PolicyCell(*name.split('@')))
        sys.stdout.write(f'{name}: {problems}\n')


if __name__ == '__main__':
    main()
