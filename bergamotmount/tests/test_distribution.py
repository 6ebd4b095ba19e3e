"""Tests of policy distribution under faults."""

import asyncio
import itertools
import unittest
from unittest import mock

from bergamotmount import distribution, follower
from bergamotmount.messages import PolicyState
from bergamotmount.tests.fakes import Simulation, record, state_of
from bergamotmount.tests.policymatrix import (
    PolicyCell,
    all_cells,
    run_policy_cell,
)
from bergamotmount.tests.virtualtime import VirtualTestCase


class PolicyMatrixTest(unittest.TestCase):
    """Injects every fault at every step of a publication."""

    def test_all_cells(self):
        """All nodes reach the accepted policy after any single fault."""
        for cell in all_cells():
            with self.subTest(cell=cell.name):
                self.assertEqual(run_policy_cell(cell), [])

    def test_isolated_domain_stays_behind_without_peer_fetch(self):
        """The fault matrix detects a missing fetch from peers."""
        cell = PolicyCell('cut-log', 'before')
        with mock.patch.object(
            distribution.PolicyDistribution,
            'fetch_if_behind',
            lambda *_: [],
        ):
            self.assertNotEqual(run_policy_cell(cell), [])

    def test_retention_gap_is_not_crossed_without_checkpoints(self):
        """The fault matrix detects missing support for checkpoints."""
        cell = PolicyCell('retention', 'after restart')
        with (
            mock.patch.object(follower, 'read_checkpoint', lambda _: None),
            mock.patch.object(
                distribution.PolicyDistribution,
                'fetch_if_behind',
                lambda *_: [],
            ),
        ):
            self.assertNotEqual(run_policy_cell(cell), [])


class OutageTest(VirtualTestCase):
    """An outage of the log leaves the active policy unchanged."""

    async def test_new_node_gets_policy_from_peers(self):
        """A node that starts during a log outage must not lack policy."""
        simulation = Simulation()
        simulation.seeds = ('a1',)
        await simulation.publish(record('retries', {'per_request': 5}))
        for name in ('a1', 'a2'):
            simulation.add_host(name, 'a', 'fd-1').start()
        await asyncio.sleep(3)
        simulation.log.is_down = True
        await asyncio.sleep(300)
        new_host = simulation.add_host('a3', 'a', 'fd-2')
        new_host.start()
        await asyncio.sleep(3)
        for host in simulation.host_by_name.values():
            policy = host.node.distribution.policy
            self.assertEqual(policy.retries.per_request, 5, host.name)
        simulation.close()

    async def test_reads_of_the_log_are_bounded(self):
        """The load on the log must not grow with the number of nodes."""
        simulation = Simulation()
        simulation.seeds = ('a0',)
        for number in range(10):
            simulation.add_host(f'a{number}', 'a', 'fd-1').start()
        await asyncio.sleep(10)
        readers = [
            host.name
            for host in simulation.host_by_name.values()
            if host.node.distribution.is_log_reader
        ]
        self.assertEqual(len(readers), distribution.READERS_PER_DOMAIN)
        before = simulation.log.read_count
        await asyncio.sleep(60)
        polls = 60_000 / distribution.DistributionTimes().poll_ms
        spare_reads = 10 + 10
        bound = distribution.READERS_PER_DOMAIN * polls + spare_reads
        self.assertLessEqual(simulation.log.read_count - before, bound)
        simulation.close()


def _install_any(a_follower, state):
    """Install a state without comparing offsets."""
    a_follower.state = state
    return True


class RevertTest(VirtualTestCase):
    """An older state from a peer never replaces the active policy."""

    async def retries_after_old_state(self) -> int:
        """Return the retries of a node that received an older state."""
        simulation = Simulation()
        old = state_of(record('retries', {'per_request': 1}))
        await simulation.publish(
            record('retries', {'per_request': 1}),
            record('retries', {'per_request': 5}, 0),
        )
        host = simulation.add_host('a1', 'a', 'fd-1')
        host.start()
        await asyncio.sleep(3)
        host.node.receive(PolicyState(old.offset, old.to_bytes()))
        retries = host.node.distribution.policy.retries.per_request
        simulation.close()
        return retries

    async def test_older_state_changes_nothing(self):
        """A delayed state message must not revert the policy."""
        self.assertEqual(await self.retries_after_old_state(), 5)

    async def test_older_state_reverts_policy_without_the_check(self):
        """The other test fails if the comparison of offsets is missing."""
        with mock.patch.object(
            follower.Follower, 'install_state', _install_any
        ):
            self.assertEqual(await self.retries_after_old_state(), 1)


class IsolatedDomainTest(VirtualTestCase):
    """A partitioned domain works on its own and rejoins afterwards."""

    async def test_members_rejoin_after_a_long_partition(self):
        """Peers that were unreachable for long must be contacted again."""
        simulation = Simulation()
        simulation.seeds = ('a1', 'b2')
        for name, domain in itertools.product('ab', '12'):
            simulation.add_host(f'{name}{domain}', name, f'fd-{domain}').start()
        await asyncio.sleep(3)
        hosts = list(simulation.host_by_name.values())
        for one, other in itertools.permutations(hosts, 2):
            if one.domain != other.domain:
                simulation.network.partition(one.name, other.name)
        await asyncio.sleep(10)
        for host in hosts:
            members = host.node.members
            self.assertEqual(len(members.alive()), 2, host.name)
            self.assertEqual(len(members.routable('a')), 1, host.name)
        await asyncio.sleep(120)
        simulation.network.partitions.clear()
        await asyncio.sleep(10)
        for host in hosts:
            self.assertEqual(len(host.node.members.routable('a')), 2)
            self.assertEqual(len(host.node.members.alive()), 4)
        simulation.close()
