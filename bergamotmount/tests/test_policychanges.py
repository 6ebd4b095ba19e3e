"""Changes of the policy: when they are in force, and what the log tells."""

import asyncio
import math
import random
import unittest
from unittest import mock

import logbook

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.policywatch import PolicyTimes, PolicyWatch
from bergamotmount.forwarding.store import StorePage
from bergamotmount.heartbeatpeer import HeartbeatPeer
from bergamotmount.member import Member
from bergamotmount.messages import Heartbeat
from bergamotmount.ports import LogError
from bergamotmount.repeater import Repeater
from bergamotmount.tablesync import SyncState
from bergamotmount.tests.fakes import Simulation, record
from bergamotmount.tests.forwardingfixture import (
    ForwardingFixture,
    make_forwarding_fixture,
)
from bergamotmount.tests.test_routetable import policy, route
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.wire.heartbeatcodec import (
    heartbeat_from_wire,
    heartbeat_to_wire,
)


#: A version has to be in force this long after the store acknowledged it.
APPLY_S = 2

#: The same on the product's own interface.
OWN_APPLY_S = 3

#: Times between silence and change: at once, soon, and later than any check.
PAUSES_S = (0, 0.5, 8)


class SilentConnectionTest(VirtualTestCase):
    """A change was not in force for 20 s when connections had gone silent.

    They stay open for good without carrying anything; new ones work (issue 43).
    """

    async def start(self) -> ForwardingFixture:
        """Start nodes that have found each other and follow the store."""
        fixture = await make_forwarding_fixture()
        await asyncio.sleep(5)
        return fixture

    def silence_store(self, fixture: ForwardingFixture) -> None:
        """Silence the connections of all nodes to the store."""
        for host in fixture.host_by_name.values():
            host.store.silence()

    def silence_links(self, fixture: ForwardingFixture) -> None:
        """Silence the connections between all nodes."""
        for channel in fixture.network.channels:
            channel.is_silent = True

    async def assert_in_force(
        self, fixture: ForwardingFixture, version: int
    ) -> None:
        """Check that a version that is published now gets in force in time."""
        fixture.store.publish(policy(route('moved', '/a/'), version=version))
        await asyncio.sleep(APPLY_S)
        versions = {
            name: host.node.policy_source.version
            for name, host in fixture.host_by_name.items()
        }
        self.assertEqual(versions, dict.fromkeys(versions, version))

    async def test_polls_of_all_nodes(self):
        for pause_s in PAUSES_S:
            with self.subTest(pause_s=pause_s):
                fixture = await self.start()
                self.silence_store(fixture)
                await asyncio.sleep(pause_s)
                await self.assert_in_force(fixture, 2)
                fixture.close()

    async def test_next_request_is_silent_too(self):
        for pause_s in PAUSES_S:
            with self.subTest(pause_s=pause_s):
                fixture = await self.start()
                self.silence_store(fixture)
                await asyncio.sleep(pause_s)
                for host in fixture.host_by_name.values():
                    host.store.silent_requests = 1
                await self.assert_in_force(fixture, 2)
                fixture.close()

    async def test_links_are_silent_too(self):
        for pause_s in PAUSES_S:
            with self.subTest(pause_s=pause_s):
                fixture = await self.start()
                self.silence_store(fixture)
                self.silence_links(fixture)
                await asyncio.sleep(pause_s)
                await self.assert_in_force(fixture, 2)
                fixture.close()

    async def test_change_while_a_node_hears_nothing(self):
        """One node is alone: the store is silent, and so are its links."""
        fixture = await self.start()
        host = fixture.host_by_name['b1']
        host.store.silence()
        for channel in fixture.network.channels:
            if 'b1' in {channel.local, channel.peer}:
                channel.is_silent = True
        await self.assert_in_force(fixture, 2)
        fixture.close()

    async def test_series_of_changes_and_silences(self):
        fixture = await self.start()
        for version in range(2, 8):
            self.silence_store(fixture)
            self.silence_links(fixture)
            await self.assert_in_force(fixture, version)
        fixture.close()


class SilentLogTest(VirtualTestCase):
    """The same on the product's own interface, with a log service."""

    async def test_reads_of_all_nodes(self):
        for pause_s in PAUSES_S:
            with self.subTest(pause_s=pause_s):
                await self.check_change_after(pause_s)

    async def check_change_after(self, pause_s: float) -> None:
        """Publish a record some time after the silence of all connections."""
        simulation = Simulation()
        simulation.seeds = ('a1', 'a2')
        for number in range(1, 5):
            domain = f'fd-{number % 2}'
            simulation.add_host(f'a{number}', 'a', domain).start()
        await asyncio.sleep(5)
        for host in simulation.host_by_name.values():
            host.log.silence()
        await asyncio.sleep(pause_s)
        await simulation.publish(record('retries', {'per_request': 5}))
        await asyncio.sleep(OWN_APPLY_S)
        retries = [
            host.node.distribution.policy.retries.per_request
            for host in simulation.host_by_name.values()
        ]
        self.assertEqual(set(retries), {5})
        simulation.close()


class PolicyWatchTest(VirtualTestCase):
    """Which checks of peers count, and which are passed on."""

    async def start(self) -> PolicyWatch:
        """Return the watch of a node at version 1, checked a second ago."""
        self.source = mock.Mock(
            version=1, answered_ms=0, has_unreadable_record=False
        )
        watch = PolicyWatch(
            LoopClock(), self.source, PolicyTimes.within(2000), random.Random(1)
        )
        await asyncio.sleep(1)
        return watch

    async def test_later_check_counts_and_is_passed_on_once(self):
        watch = await self.start()
        self.assertEqual(watch.age_to_relay(), 1000)
        self.assertTrue(watch.hear(1, 20))
        self.assertEqual(watch.age_to_relay(), 20)
        self.assertFalse(watch.hear(1, 15))
        self.assertEqual(watch.age_to_relay(), 15)

    async def test_older_check_changes_nothing(self):
        watch = await self.start()
        self.assertFalse(watch.hear(1, 1500))
        self.assertEqual(watch.age_to_relay(), 1000)

    async def test_check_of_a_newer_version_is_none_of_this_one(self):
        """The node must fetch it, and not take its own for the newest."""
        watch = await self.start()
        self.assertFalse(watch.hear(2, 0))
        self.assertFalse(watch.hear(1, None))
        self.assertEqual(watch.age_to_relay(), 1000)

    async def test_new_process_has_checked_nothing(self):
        """It told its peers that its start was a check."""
        watch = await self.start()
        self.source.answered_ms = -math.inf
        self.assertIsNone(watch.age_to_relay())
        self.assertTrue(watch.hear(1, 20))
        self.assertEqual(watch.age_to_relay(), 20)

    async def test_incomplete_page_is_no_check(self):
        """Pages that were given up, or that lack records, counted as read."""
        fixture = await make_forwarding_fixture()
        source = fixture.host_by_name['b1'].node.policy_source
        answered_ms = source.answered_ms
        later_ms = answered_ms + 10_000
        source._apply_page(StorePage([], 1, 1, False), later_ms)
        self.assertEqual(source.answered_ms, answered_ms)
        source._apply_page(StorePage([], 1, 1), later_ms)
        self.assertEqual(source.answered_ms, later_ms)
        fixture.close()

    async def test_unreadable_record_is_not_passed_on_as_checked(self):
        """A peer of another release may be able to read it."""
        watch = await self.start()
        self.source.has_unreadable_record = True
        self.assertIsNone(watch.age_to_relay())

    async def test_reads_of_the_store_are_few(self):
        """Each node read twice a second, and each read is priced."""
        fixture = await make_forwarding_fixture()
        hosts = fixture.host_by_name.values()
        before = sum(host.store.reads for host in hosts)
        await asyncio.sleep(10)
        reads = sum(host.store.reads for host in hosts) - before
        # One node after the other, each at the earliest moment, makes 20.
        self.assertLessEqual(reads, 20)
        fixture.close()


class HeartbeatAgeTest(unittest.TestCase):
    """The age of a check grows on its way to a peer."""

    def setUp(self):
        self.peer = HeartbeatPeer('10.0.0.1:1', 0, SyncState(0))

    def heartbeat(self, **fields) -> Heartbeat:
        """Return a heartbeat of any node."""
        member = Member('n', '10.0.0.1:1', 'r', 'd', 1)
        return Heartbeat(1, True, [member], 0, 7, **fields)

    def test_way_is_added(self):
        """A check on a slow link passed for a fresh one."""
        self.peer.record_received(self.heartbeat(echoed_ms=100), 180.5)
        heartbeat = self.heartbeat(policy_age_ms=40)
        self.peer.add_way(heartbeat)
        self.assertEqual(heartbeat.policy_age_ms, 121)

    def test_unknown_way_lets_no_check_pass(self):
        self.peer.record_received(self.heartbeat(), 100)
        self.peer.record_received(self.heartbeat(echoed_ms=200), 150)
        heartbeat = self.heartbeat(policy_age_ms=40)
        self.peer.add_way(heartbeat)
        self.assertIsNone(heartbeat.policy_age_ms)

    def test_age_on_the_wire(self):
        received_by_sent = {0: 0, 7: 7, None: None, -1: None}
        for sent, received in received_by_sent.items():
            wire = heartbeat_to_wire(self.heartbeat(policy_age_ms=sent))
            heartbeat = heartbeat_from_wire(wire)
            self.assertEqual(heartbeat.policy_age_ms, received)


class RepeaterTest(VirtualTestCase):
    """What a request costs, and which of its answers counts."""

    def setUp(self):
        self.sent = 0
        self.repeater = Repeater(LoopClock(), silence_ms=300)

    def service(self, *answers: tuple[float, object]):
        """Return a request; the n-th one is answered by the n-th answer."""

        async def request() -> str:
            self.sent += 1
            delay_s, answer = answers[min(self.sent, len(answers)) - 1]
            await asyncio.sleep(delay_s)
            if isinstance(answer, Exception):
                raise answer
            return answer

        return request

    async def test_silence_and_then_silence(self):
        started_s = asyncio.get_running_loop().time()
        request = self.service((60, ''), (60, ''), (0.004, 'third'))
        self.assertEqual(await self.repeater.ask(request), 'third')
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertAlmostEqual(elapsed_s, 0.604)

    async def test_late_answer_counts(self):
        """A slow store was asked again and again, and never answered."""
        request = self.service((0.7, 'late'), (60, ''))
        self.assertEqual(await self.repeater.ask(request), 'late')
        self.sent = 0
        self.assertEqual(await self.repeater.ask(request), 'late')
        self.assertEqual(self.sent, 1)

    async def test_refusal_is_raised_at_once(self):
        refusal = (0.1, LogError('refused'))
        for answers in ((refusal,), ((60, ''), refusal)):
            self.sent = 0
            with self.assertRaises(LogError):
                await self.repeater.ask(self.service(*answers))
            self.assertEqual(self.sent, len(answers))

    async def test_poll_that_outlasts_its_wait(self):
        poll = self.service((60, ''))
        read = self.service((0, ''), (0, 'read'))
        answer = await self.repeater.ask_waiting(poll, read, wait_ms=1000)
        self.assertEqual(answer, 'read')


class PolicyLogTest(VirtualTestCase):
    """The log tells which version decided a request (issue 43)."""

    async def lines_after(self, path: str) -> list[str]:
        """Return what is logged about a request, and its totals."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(route('read', '/a/'), version=7))
        await asyncio.sleep(0.2)
        with logbook.TestHandler().applicationbound() as handler:
            await fixture.host_by_name['b1'].send(path)
            await asyncio.sleep(1.5)
            fixture.close()
        return [record.message for record in handler.records]

    async def test_totals_name_the_version(self):
        """Answered requests left no trace of the policy that was in force."""
        lines = await self.lines_after('/a/1')
        expected = (
            'totals route=read call=False outcome=answered reason=- policy=7 '
            'count=1'
        )
        self.assertIn(expected, lines)

    async def test_missing_route_leaves_a_line(self):
        """A 404 that an outdated policy caused left no line at all."""
        lines = await self.lines_after('/added/1')
        denials = [line for line in lines if line.startswith('denied ')]
        self.assertEqual(len(denials), 1)
        for field in ('request=b1-1', 'reason=no_route', 'policy=7'):
            self.assertIn(field, denials[0])
        self.assertIn('policy_age_ms=', denials[0])

    async def test_older_record_is_reported(self):
        """A record that was read and not applied left no line."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(route('read', '/a/'), version=7))
        await asyncio.sleep(0.2)
        with logbook.TestHandler().applicationbound() as handler:
            fixture.store.publish(policy(route('old', '/a/'), version=6))
            await asyncio.sleep(0.2)
            fixture.close()
        expected = 'Policy version 6 from store ignored: version 7 is active.'
        lines = [record.message for record in handler.records]
        self.assertEqual(lines.count(expected), 4)
