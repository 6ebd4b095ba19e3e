"""Tests of the distribution of policy, by its own fault matrix."""

import asyncio
import itertools
import unittest
from unittest import mock

from bergamotmount import distribution, follower
from bergamotmount.messages import PolicyState
from bergamotmount.tests.fakes import World, record, state_of
from bergamotmount.tests.policymatrix import (
    PolicyCell,
    all_cells,
    run_policy_cell,
)
from bergamotmount.tests.virtualtime import VirtualTestCase


class PolicyMatrixTest(unittest.TestCase):
    """Every fault at every step of a publication."""

    def test_all_cells(self):
        for cell in all_cells():
            with self.subTest(cell=cell.name):
                self.assertEqual(run_policy_cell(cell), [])

    def test_without_peers_a_cut_domain_stays_behind(self):
        cell = PolicyCell('cut-log', 'before')
        with mock.patch.object(
            distribution.PolicyDistribution,
            'behind',
            lambda *_: [],
        ):
            self.assertNotEqual(run_policy_cell(cell), [])

    def test_without_checkpoints_a_gap_is_never_crossed(self):
        cell = PolicyCell('retention', 'after restart')
        with (
            mock.patch.object(follower, 'read_checkpoint', lambda _: None),
            mock.patch.object(
                distribution.PolicyDistribution,
                'behind',
                lambda *_: [],
            ),
        ):
            self.assertNotEqual(run_policy_cell(cell), [])


class OutageTest(VirtualTestCase):
    """A long outage of the log changes nothing that is in force."""

    async def test_a_fresh_node_takes_policy_from_peers(self):
        world = World()
        world.seeds = ('a1',)
        await world.publish(record('retries', {'per_request': 5}))
        for name in ('a1', 'a2'):
            world.add(name, 'a', 'fd-1').start()
        await asyncio.sleep(3)
        world.log.is_down = True
        await asyncio.sleep(300)
        fresh = world.add('a3', 'a', 'fd-2')
        fresh.start()
        await asyncio.sleep(3)
        for host in world.host_by_name.values():
            policy = host.node.distribution.policy
            self.assertEqual(policy.retries.per_request, 5, host.name)
        world.close()

    async def test_few_nodes_read_the_log(self):
        world = World()
        world.seeds = ('a0',)
        for number in range(10):
            world.add(f'a{number}', 'a', 'fd-1').start()
        await asyncio.sleep(10)
        readers = [
            host.name
            for host in world.host_by_name.values()
            if host.node.distribution.is_reader
        ]
        self.assertEqual(len(readers), distribution.READERS)
        before = world.log.reads
        await asyncio.sleep(60)
        polls = 60_000 / distribution.DistributionTimes().poll_ms
        spare = 10 + 10
        bound = distribution.READERS * polls + spare
        self.assertLessEqual(world.log.reads - before, bound)
        world.close()


def _take_any(a_follower, state):
    a_follower.state = state
    return True


class RevertTest(VirtualTestCase):
    """A peer's older state never replaces what is in force."""

    async def retries_after_old_state(self) -> int:
        world = World()
        old = state_of(record('retries', {'per_request': 1}))
        await world.publish(
            record('retries', {'per_request': 1}),
            record('retries', {'per_request': 5}, 0),
        )
        host = world.add('a1', 'a', 'fd-1')
        host.start()
        await asyncio.sleep(3)
        host.node.receive(PolicyState(old.offset, old.to_bytes()))
        retries = host.node.distribution.policy.retries.per_request
        world.close()
        return retries

    async def test_an_old_state_changes_nothing(self):
        self.assertEqual(await self.retries_after_old_state(), 5)

    async def test_without_the_guard_it_would_revert(self):
        with mock.patch.object(follower.Follower, 'take_state', _take_any):
            self.assertEqual(await self.retries_after_old_state(), 1)


class CutDomainTest(VirtualTestCase):
    """A domain that is cut off goes on alone and is taken back."""

    async def test_members_come_back_after_a_long_cut(self):
        world = World()
        world.seeds = ('a1', 'b2')
        for name, domain in itertools.product('ab', '12'):
            world.add(f'{name}{domain}', name, f'fd-{domain}').start()
        await asyncio.sleep(3)
        hosts = list(world.host_by_name.values())
        for one, other in itertools.permutations(hosts, 2):
            if one.domain != other.domain:
                world.network.cut(one.name, other.name)
        await asyncio.sleep(10)
        for host in hosts:
            members = host.node.members
            self.assertEqual(len(members.alive()), 2, host.name)
            self.assertEqual(len(members.routable('a')), 1, host.name)
        await asyncio.sleep(120)
        world.network.cuts.clear()
        await asyncio.sleep(10)
        for host in hosts:
            self.assertEqual(len(host.node.members.routable('a')), 2)
            self.assertEqual(len(host.node.members.alive()), 4)
        world.close()
