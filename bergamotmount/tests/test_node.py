"""Tests of whole nodes: planned replacement, silence, and the call context."""

import asyncio
import itertools

from bergamotmount.member import MemberState
from bergamotmount.messages import Answer
from bergamotmount.outcomes import Answered, NotRun
from bergamotmount.reasons import DropReason, RefusalReason
from bergamotmount.request import Request
from bergamotmount.tests.fakes import World, operation, record
from bergamotmount.tests.virtualtime import VirtualTestCase

POLICY = (
    record('retries', {'per_request': 3, 'ratio': 1}),
    record('servers', {'slow_start_ms': 500, 'drain_ms': 5000}),
    record(
        'service/a',
        {'operations': {'read': operation(1, True, 'b/look')}},
    ),
    record(
        'service/b',
        {
            'operations': {
                'look': operation(1, True),
                'charge': operation(0, False),
                'patient': {**operation(1, True), 'timeout_ms': 5000},
            },
        },
    ),
)


async def make_world() -> World:
    """Return two services of two servers, in two failure domains."""
    world = World()
    world.seeds = ('a1', 'b2')
    world.callees = {'read': 'b/look'}
    await world.publish(*POLICY)
    for service, number in itertools.product('ab', '12'):
        world.add(f'{service}{number}', service, f'fd-{number}').start()
    await asyncio.sleep(4)
    return world


class ReplacementTest(VirtualTestCase):
    """Replacing all hosts under load loses and refuses nothing."""

    async def test_rolling_replacement_under_load(self):
        world = await make_world()
        outcomes = []
        load = asyncio.create_task(self.load(world, outcomes))
        for host in list(world.host_by_name.values()):
            await asyncio.sleep(1)
            await host.node.drain()
            await host.node.leave()
            host.kill()
            await asyncio.sleep(1)
            host.start()
            await asyncio.sleep(3)
        load.cancel()
        failed = [each for each in outcomes if not self.is_good(each)]
        self.assertEqual(failed, [])
        self.assertGreater(len(outcomes), 500)
        self.assertEqual(world.truth.interrupted, [])
        world.close()

    def is_good(self, outcome) -> bool:
        return isinstance(outcome, Answered) and outcome.status == 200

    async def load(self, world, outcomes):
        requests = set()

        def take(done):
            outcomes.append(done.result())

        for number in itertools.count():
            await asyncio.sleep(0.02)
            entries = [
                host
                for host in world.host_by_name.values()
                if host.is_alive and not host.node.is_stopping
            ]
            host = entries[number % len(entries)]
            body = f'load-{number}'.encode()
            request = Request('a', 'read', body=body)
            task = host.spawn(host.node.egress.call(request))
            task.add_done_callback(take)
            requests.add(task)


class DepartureTest(VirtualTestCase):
    """A departure is known everywhere within two seconds."""

    async def test_a_drain_is_told_at_once(self):
        world = await make_world()
        world.host_by_name['b1'].node.lifecycle.drain()
        await asyncio.sleep(0.2)
        for host in world.host_by_name.values():
            member = host.node.members.member_by_node['b1']
            self.assertEqual(member.state, MemberState.DRAINING, host.name)
        world.close()

    async def test_a_lapsed_server_gets_no_work(self):
        world = await make_world()
        host = world.host_by_name['b1']
        host.node.renew_server = lambda: True
        host.node.lifecycle.renew(-1)
        await asyncio.sleep(0.5)
        self.assertFalse(host.node.lifecycle.is_accepting)
        for other in world.host_by_name.values():
            routable = other.node.members.routable('b')
            self.assertEqual([each.node for each in routable], ['b2'])
        world.close()


class SilenceTest(VirtualTestCase):
    """A silent connection is found within two seconds, and calls move."""

    async def test_calls_move_to_a_new_connection(self):
        world = await make_world()
        entry = world.host_by_name['a1']
        await entry.node.egress.call(Request('b', 'look', body=b'first'))
        for channel in world.network.channels:
            channel.is_silent = {channel.own, channel.peer} == {'a1', 'b1'}
        started_s = asyncio.get_running_loop().time()
        outcome = await entry.node.egress.call(
            Request('b', 'look', body=b'second'),
        )
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertEqual(outcome, Answered(200, [], b'second'))
        self.assertLess(took_s, 2)
        count = entry.counters.counts[DropReason.SILENT_CONNECTION]
        self.assertGreaterEqual(count, 1)
        world.close()

    async def test_all_connections_silent_at_once(self):
        world = await make_world()
        entry = world.host_by_name['a1']
        for number in range(8):
            body = f'first-{number}'.encode()
            await entry.node.egress.call(Request('b', 'look', body=body))
        for channel in world.network.channels:
            channel.is_silent = True
        outcome = await entry.node.egress.call(
            Request('b', 'patient', body=b'second'),
        )
        self.assertEqual(outcome, Answered(200, [], b'second'))
        world.close()

    async def test_a_late_answer_reaches_nobody(self):
        world = await make_world()
        entry = world.host_by_name['a1']
        await entry.node.egress.call(Request('b', 'look', body=b'first'))
        link = entry.node.links.link('b1')
        link._resolve(Answer(1, Answered(200, [], b'late')))
        outcome = await entry.node.egress.call(
            Request('b', 'look', body=b'second'),
        )
        self.assertEqual(outcome, Answered(200, [], b'second'))
        self.assertEqual(entry.counters.counts[DropReason.LATE_ANSWER], 1)
        world.close()


class ContextTest(VirtualTestCase):
    """A child call inherits from its parent and can't widen anything."""

    async def test_an_undeclared_callee_is_refused(self):
        world = await make_world()
        world.callees = {'read': 'b/charge'}
        for host in world.host_by_name.values():
            host.server.callees = world.callees
        host = world.host_by_name['a1']
        await host.node.egress.call(Request('a', 'read', body=b'k'))
        self.assertEqual(world.truth.runs['k/charge'], 0)
        refusals = sum(
            each.counters.counts['egress', RefusalReason.UNDECLARED_CALLEE]
            for each in world.host_by_name.values()
        )
        self.assertEqual(refusals, 1)
        world.close()

    async def test_a_gone_caller_cancels_the_whole_subtree(self):
        world = await make_world()
        for host in world.host_by_name.values():
            host.server.service_ms = 1000
        host = world.host_by_name['a1']
        call = host.node.egress.call(Request('a', 'read', body=b'k'))
        task = asyncio.create_task(call)
        await asyncio.sleep(0.7)
        task.cancel()
        await asyncio.sleep(0.1)
        keys = sorted(key for _, key in world.truth.interrupted)
        self.assertEqual(keys, ['k', 'k/look'])
        in_hand = [
            len(each.node.gate.in_hand) for each in world.host_by_name.values()
        ]
        self.assertEqual(in_hand, [0, 0, 0, 0])
        world.close()

    async def test_a_child_keeps_its_parents_deadline(self):
        world = await make_world()
        world.host_by_name['b1'].server.service_ms = 5000
        world.host_by_name['b2'].server.service_ms = 5000
        host = world.host_by_name['a1']
        started_s = asyncio.get_running_loop().time()
        request = Request('a', 'read', body=b'k', deadline_ms=300)
        await host.node.egress.call(request)
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(took_s, 0.31)
        await asyncio.sleep(0.1)
        self.assertIn('k/look', [key for _, key in world.truth.interrupted])
        world.close()

    async def test_a_refusal_is_answered_at_once(self):
        world = await make_world()
        for host in world.host_by_name.values():
            host.server.sheds = True
        host = world.host_by_name['a1']
        started_s = asyncio.get_running_loop().time()
        outcome = await host.node.egress.call(Request('b', 'look', body=b'k'))
        took_s = asyncio.get_running_loop().time() - started_s
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertLess(took_s, 0.2)
        world.close()
