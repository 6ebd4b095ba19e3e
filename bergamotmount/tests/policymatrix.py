"""Fault matrix of policy: every fault at every step of a publication.

One cell runs alone with::

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
from bergamotmount.tests.fakes import FakeHost, World, record
from bergamotmount.tests.virtualtime import run_virtual

IN_FORCE_S = 3
PUBLISH_MS = 30_000

#: Steps of publish, accept, distribute, checkpoint and restart.
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
    """One fault at one step."""

    fault: str
    step: str

    @property
    def name(self) -> str:
        return f'{self.fault}@{self.step}'


class PolicyRun:
    """Runs one cell: two operators publish, something breaks."""

    def __init__(self, cell: PolicyCell) -> None:
        self.cell = cell
        self.world = World()
        self.problems: list[str] = []
        self.drained_ms: dict[str, float] = {}
        self.returned_ms: dict[str, float] = {}
        self.offset_by_sender: dict[int, int] = {}
        self._struck = False
        self._effects: list[asyncio.Task] = []

    async def run(self) -> list[str]:
        events.policy_accepted.connect(self._on_policy)
        await self._start()
        self.world.on_step = self._on_step
        self._at_step('before')
        verdicts = await asyncio.gather(
            self._publish('operator-one', 5),
            self._publish('operator-two', 6),
        )
        await self._checkpoint()
        await self._restart_one()
        self._strike()
        await asyncio.gather(*self._effects)
        await asyncio.sleep(IN_FORCE_S)
        self._check(verdicts)
        events.policy_accepted.disconnect(self._on_policy)
        self.world.close()
        await asyncio.sleep(0)
        return self.problems

    async def _start(self) -> None:
        world = self.world
        world.seeds = ('a1', 'a2')
        await world.publish(record('retries', {'per_request': 3}))
        for number, domain in itertools.product((1, 2, 3), ('1', '2')):
            world.add(f'a{number}{domain}', 'a', f'fd-{domain}')
        world.seeds = ('a11', 'a22')
        for host in world.host_by_name.values():
            host.start()
        await asyncio.sleep(3)

    async def _publish(self, operator: str, retries: int) -> object:
        publisher = Publisher(LoopClock(), self.world.log)
        body = {'per_request': retries}
        document = record('retries', body, 0, record_id=operator)
        verdict = await publisher.publish(document, PUBLISH_MS)
        self._at_step('appended')
        return verdict

    async def _checkpoint(self) -> None:
        await asyncio.sleep(1)
        reader = self._host()
        if reader.is_alive:
            await reader.node.distribution._append_checkpoint()
        self._at_step('checkpoint')

    async def _restart_one(self) -> None:
        host = self.world.host_by_name['a32']
        if host.is_alive:
            host.kill()
        host.start()
        self._at_step('after restart')
        await asyncio.sleep(1)

    def _host(self) -> FakeHost:
        hosts = self.world.host_by_name.values()
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

    def _on_policy(self, sender, offset: int) -> None:
        key = id(sender)
        if offset < self.offset_by_sender.get(key, -1):
            self.problems.append(f'policy went back to {offset}')
        self.offset_by_sender[key] = offset
        if offset:
            self._at_step('read')
            self._at_step('in force')

    def _at_step(self, step: str) -> None:
        if step == self.cell.step:
            self._strike()

    def _strike(self) -> None:
        if self._struck:
            return
        self._struck = True
        effect = FAULT_BY_NAME[self.cell.fault](self, self._host())
        self._effects.append(asyncio.get_running_loop().create_task(effect))

    def _check(self, verdicts: list) -> None:
        alive = [
            host for host in self.world.host_by_name.values() if host.is_alive
        ]
        policies = {
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
            self.problems.append(f'verdicts {verdicts}')
            return
        wanted = {'operator-one': 5, 'operator-two': 6}[accepted[0].record_id]
        behind = {
            name: retries
            for name, retries in policies.items()
            if retries != wanted
        }
        if behind:
            self.problems.append(f'not {wanted} everywhere: {behind}')


async def _cut_log(run: PolicyRun, host: FakeHost) -> None:
    for other in run.world.host_by_name.values():
        if other.domain == host.domain:
            other.log.is_cut = True


async def _cut_domains(run: PolicyRun, host: FakeHost) -> None:
    hosts = run.world.host_by_name.values()
    for one, other in itertools.permutations(hosts, 2):
        if one.domain != other.domain:
            run.world.network.cut(one.name, other.name)
    await asyncio.sleep(faults.FAULT_S)
    run.world.network.cuts.clear()


async def _retention(run: PolicyRun, host: FakeHost) -> None:
    """Let everything before a checkpoint at the end be forgotten."""
    log = run.world.log
    publisher = Publisher(LoopClock(), log)
    await publisher.catch_up()
    await log.append('policy', publisher.follower.state.to_checkpoint())
    log.forget_before('policy', publisher.follower.next_offset)
    fresh = run.world.host_by_name['a31']
    fresh.kill()
    fresh.start()


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
    'cut-log': _cut_log,
    'cut-domains': _cut_domains,
    'retention': _retention,
}


def all_cells() -> list[PolicyCell]:
    """Return the product of faults and steps."""
    return [
        PolicyCell(fault, step)
        for fault, step in itertools.product(FAULT_BY_NAME, STEPS)
    ]


def run_policy_cell(cell: PolicyCell) -> list[str]:
    """Return the promises that a cell broke."""
    return run_virtual(PolicyRun(cell).run())


def main() -> None:
    """Run the cells that are named."""
    for name in sys.argv[1:]:
        problems = run_policy_cell(PolicyCell(*name.split('@')))
        sys.stdout.write(f'{name}: {problems}\n')


if __name__ == '__main__':
    main()
