"""Tests of complete nodes: replacement, silent connections, call context."""

import asyncio
import itertools

from bergamotmount.member import MemberState
from bergamotmount.messages import Answer
from bergamotmount.outcomes import Answered, NotRun
from bergamotmount.reasons import DropReason, RefusalReason
from bergamotmount.request import Request
from bergamotmount.tests.fakes import Simulation, operation, record
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


async def make_simulation() -> Simulation:
    """Start two services with two servers each, in two failure domains."""
    simulation = Simulation()
    simulation.seeds = ('a1', 'b2')
    simulation.callees = {'read': 'b/look'}
    await simulation.publish(*POLICY)
    for service, number in itertools.product('ab', '12'):
        simulation.add_host(
            f'{service}{number}', service, f'fd-{number}'
        ).start()
    await asyncio.sleep(4)
    return simulation


class LateRequestTest(VirtualTestCase):
    """A request that comes late in a stop is refused, not interrupted."""

    async def test_request_while_the_node_leaves(self):
        """Its run was interrupted as the node closed its links."""
        for moment_s in (0.005, 0.02, 0.04, 0.06, 0.09):
            with self.subTest(moment_s):
                await self.send_while_leaving(moment_s)

    async def send_while_leaving(self, moment_s: float) -> None:
        """Send a request at this time after the node began to leave."""
        simulation = await make_simulation()
        host = simulation.host_by_name['a1']
        for target in simulation.host_by_name.values():
            target.server.service_ms = 200
        await host.node.drain()
        leaving = asyncio.create_task(host.node.leave())
        await asyncio.sleep(moment_s)
        outcome = await host.node.egress.call(Request('a', 'read'))
        await leaving
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.reason, RefusalReason.DRAINING)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual(simulation.execution_log.interrupted, [])
        simulation.close()


class ReplacementTest(VirtualTestCase):
    """A rolling replacement of all hosts loses and refuses no request."""

    async def test_rolling_replacement_under_load(self):
        """Replacing a host must not fail, refuse or interrupt requests."""
        simulation = await make_simulation()
        outcomes = []
        load = asyncio.create_task(self.generate_load(simulation, outcomes))
        for host in list(simulation.host_by_name.values()):
            await asyncio.sleep(1)
            await host.node.drain()
            await host.node.leave()
            host.kill()
            await asyncio.sleep(1)
            host.start()
            await asyncio.sleep(3)
        load.cancel()
        failed = [each for each in outcomes if not self.is_success(each)]
        self.assertEqual(failed, [])
        self.assertGreater(len(outcomes), 500)
        self.assertEqual(simulation.execution_log.interrupted, [])
        simulation.close()

    def is_success(self, outcome) -> bool:
        """Whether the outcome is an answer with status 200."""
        return isinstance(outcome, Answered) and outcome.status == 200

    async def generate_load(self, simulation, outcomes):
        """Send requests to all running nodes in turn; collect outcomes."""
        requests = set()

        def record_outcome(done):
            outcomes.append(done.result())

        for number in itertools.count():
            await asyncio.sleep(0.02)
            entries = [
                host
                for host in simulation.host_by_name.values()
                if host.is_alive and not host.node.is_stopping
            ]
            host = entries[number % len(entries)]
            body = f'load-{number}'.encode()
            request = Request('a', 'read', body=body)
            task = host.spawn(host.node.egress.call(request))
            task.add_done_callback(record_outcome)
            requests.add(task)


class DepartureTest(VirtualTestCase):
    """All nodes learn of a departing server within two seconds."""

    async def test_drain_is_announced_immediately(self):
        """A draining server must not get calls until the next heartbeat."""
        simulation = await make_simulation()
        simulation.host_by_name['b1'].node.lifecycle.drain()
        await asyncio.sleep(0.2)
        for host in simulation.host_by_name.values():
            member = host.node.members.member_by_node['b1']
            self.assertEqual(member.state, MemberState.DRAINING, host.name)
        simulation.close()

    async def test_server_with_expired_lease_gets_no_calls(self):
        """A server that stops renewing its lease must not get calls."""
        simulation = await make_simulation()
        host = simulation.host_by_name['b1']
        host.node.renew_server = lambda: True
        host.node.lifecycle.renew(-1)
        await asyncio.sleep(0.5)
        self.assertFalse(host.node.lifecycle.is_accepting)
        for other in simulation.host_by_name.values():
            routable = other.node.members.routable('b')
            self.assertEqual([each.node for each in routable], ['b2'])
        simulation.close()


class SilenceTest(VirtualTestCase):
    """A silent connection is detected within two seconds and replaced."""

    async def test_calls_move_to_a_new_connection(self):
        """A connection that drops all messages must not delay calls."""
        simulation = await make_simulation()
        entry = simulation.host_by_name['a1']
        await entry.node.egress.call(Request('b', 'look', body=b'first'))
        for channel in simulation.network.channels:
            channel.is_silent = {channel.local, channel.peer} == {'a1', 'b1'}
        started_s = asyncio.get_running_loop().time()
        outcome = await entry.node.egress.call(
            Request('b', 'look', body=b'second'),
        )
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertEqual(outcome, Answered(200, [], b'second'))
        self.assertLess(elapsed_s, 2)
        count = entry.counters.counts[DropReason.SILENT_CONNECTION]
        self.assertGreaterEqual(count, 1)
        simulation.close()

    async def test_all_connections_silent_at_once(self):
        """A call must succeed even if all connections go silent together."""
        simulation = await make_simulation()
        entry = simulation.host_by_name['a1']
        for number in range(8):
            body = f'first-{number}'.encode()
            await entry.node.egress.call(Request('b', 'look', body=body))
        for channel in simulation.network.channels:
            channel.is_silent = True
        outcome = await entry.node.egress.call(
            Request('b', 'patient', body=b'second'),
        )
        self.assertEqual(outcome, Answered(200, [], b'second'))
        simulation.close()

    async def test_late_answer_is_dropped(self):
        """An answer to a finished attempt must not answer a later call."""
        simulation = await make_simulation()
        entry = simulation.host_by_name['a1']
        await entry.node.egress.call(Request('b', 'look', body=b'first'))
        link = entry.node.links.link('b1')
        link._resolve(Answer(1, Answered(200, [], b'late')))
        outcome = await entry.node.egress.call(
            Request('b', 'look', body=b'second'),
        )
        self.assertEqual(outcome, Answered(200, [], b'second'))
        self.assertEqual(entry.counters.counts[DropReason.LATE_ANSWER], 1)
        simulation.close()


class ContextTest(VirtualTestCase):
    """A nested call inherits the limits of its parent and can't extend them."""

    async def test_undeclared_callee_is_refused(self):
        """An idempotent request must not call a non-idempotent operation."""
        simulation = await make_simulation()
        simulation.callees = {'read': 'b/charge'}
        for host in simulation.host_by_name.values():
            host.server.callees = simulation.callees
        host = simulation.host_by_name['a1']
        await host.node.egress.call(Request('a', 'read', body=b'k'))
        self.assertEqual(simulation.execution_log.started['k/charge'], 0)
        refusals = sum(
            each.counters.counts['egress', RefusalReason.UNDECLARED_CALLEE]
            for each in simulation.host_by_name.values()
        )
        self.assertEqual(refusals, 1)
        simulation.close()

    async def test_cancelled_caller_cancels_nested_calls(self):
        """Work must not go on for a caller that no longer waits."""
        simulation = await make_simulation()
        for host in simulation.host_by_name.values():
            host.server.service_ms = 1000
        host = simulation.host_by_name['a1']
        call = host.node.egress.call(Request('a', 'read', body=b'k'))
        task = asyncio.create_task(call)
        await asyncio.sleep(0.7)
        task.cancel()
        await asyncio.sleep(0.1)
        keys = sorted(key for _, key in simulation.execution_log.interrupted)
        self.assertEqual(keys, ['k', 'k/look'])
        active_counts = [
            len(each.node.runtime.active_contexts)
            for each in simulation.host_by_name.values()
        ]
        self.assertEqual(active_counts, [0, 0, 0, 0])
        simulation.close()

    async def test_nested_call_inherits_deadline(self):
        """A nested call must not run past the deadline of its parent."""
        simulation = await make_simulation()
        simulation.host_by_name['b1'].server.service_ms = 5000
        simulation.host_by_name['b2'].server.service_ms = 5000
        host = simulation.host_by_name['a1']
        started_s = asyncio.get_running_loop().time()
        request = Request('a', 'read', body=b'k', deadline_ms=300)
        await host.node.egress.call(request)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(elapsed_s, 0.31)
        await asyncio.sleep(0.1)
        self.assertIn(
            'k/look', [key for _, key in simulation.execution_log.interrupted]
        )
        simulation.close()

    async def test_refusal_is_returned_immediately(self):
        """A caller must not wait for its deadline when all servers refuse."""
        simulation = await make_simulation()
        for host in simulation.host_by_name.values():
            host.server.sheds = True
        host = simulation.host_by_name['a1']
        started_s = asyncio.get_running_loop().time()
        outcome = await host.node.egress.call(Request('b', 'look', body=b'k'))
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertLess(elapsed_s, 0.2)
        simulation.close()
