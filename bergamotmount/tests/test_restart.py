"""After a restart of its node, a server that has left isn't used again."""

import asyncio

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.announcements import MAX_ANNOUNCEMENT_DELAY_MS
from bergamotmount.lifecycle import ServerState
from bergamotmount.tests.forwardingfixture import (
    ForwardingHost,
    make_forwarding_fixture,
)
from bergamotmount.tests.virtualtime import VirtualTestCase


class RestartTest(VirtualTestCase):
    """A node is killed and knows nothing of what its server announced."""

    async def restart(
        self, health_status: int, settle_s: float = 1
    ) -> ForwardingHost:
        """Restart the node of ``a1``; its server answers health checks.

        Return after ``settle_s``; by default the node has the policy then.
        """
        self.fixture = await make_forwarding_fixture()
        host = self.fixture.host_by_name['a1']
        host.is_renewing = False
        host.kill()
        host.server.health_status = health_status
        host.start()
        await asyncio.sleep(settle_s)
        return host

    async def test_server_that_had_left(self):
        """A delayed announcement could put a leaving server in use again."""
        host = await self.restart(503)
        host.announce(sequence=3)
        await asyncio.sleep(1)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        host.announce(sequence=8, is_draining=True)
        await asyncio.sleep(1)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_departure_during_the_check(self):
        """A departure could be overtaken by the check that was running."""
        host = await self.restart(200)
        host.announce(sequence=3)
        host.node.local_server.depart('i-a1')
        await asyncio.sleep(1)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_healthy_server_is_used_at_once(self):
        """The check must not cost a healthy server its first second."""
        host = await self.restart(200)
        host.announce(sequence=3)
        await asyncio.sleep(0.05)
        state = host.node.local_server.lifecycle.state
        self.assertIn(state, {ServerState.WARMING, ServerState.SERVING})
        self.fixture.close()

    async def test_announcement_before_the_policy(self):
        """All nodes restart, and servers announce themselves at once.

        The check needs the policy. Without it half of the servers waited for
        their next announcement, 1.5 s in which their services were refused.
        """
        host = await self.restart(200, settle_s=0)
        host.announce(sequence=3)
        self.assertIsNone(host.node.policy_source.table)
        await asyncio.sleep(0.05)
        self.assertTrue(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_second_late_announcement_of_a_server_that_had_left(self):
        """Only the first one was checked; the second put it in use again."""
        host = await self.restart(503)
        for sequence in (3, 4, 5):
            host.announce(sequence=sequence)
            await asyncio.sleep(1.5)
            self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_failing_check_ends_with_the_last_late_announcement(self):
        """A server whose check fails could stay unused for good."""
        host = await self.restart(503)
        host.announce(sequence=3)
        await asyncio.sleep(MAX_ANNOUNCEMENT_DELAY_MS / MS_PER_SECOND)
        host.announce(sequence=4)
        self.assertTrue(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_full_server_is_asked_again(self):
        """A server without a free slot for the check waited for seconds."""
        host = await self.restart(503)
        host.server.is_full = True
        host.announce(sequence=3)
        await asyncio.sleep(0.5)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        host.server.is_full = False
        host.server.health_status = 200
        await asyncio.sleep(0.3)
        self.assertTrue(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_departure_before_any_announcement(self):
        """It wasn't recorded, and a late announcement undid it."""
        host = await self.restart(503, settle_s=11)
        host.node.local_server.depart('i-a1')
        host.announce(sequence=3)
        await asyncio.sleep(1)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_late_departure_of_an_earlier_process(self):
        """The present process of the instance got no request ever again."""
        self.fixture = await make_forwarding_fixture()
        host = self.fixture.host_by_name['a1']
        host.node.local_server.depart('i-a1')
        await asyncio.sleep(9)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        await asyncio.sleep(3)
        self.assertTrue(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_departed_server_that_still_announces_itself(self):
        """Its check says that it leaves; it must not get requests again."""
        self.fixture = await make_forwarding_fixture()
        host = self.fixture.host_by_name['a1']
        host.server.health_status = 503
        host.node.local_server.depart('i-a1')
        await asyncio.sleep(20)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        self.fixture.close()

    async def test_first_start_of_all_needs_no_check(self):
        """No server can have left before its node started first."""
        fixture = await make_forwarding_fixture()
        for host in fixture.host_by_name.values():
            self.assertEqual(host.server.checks, 0)
        fixture.close()


class ColdServersTest(VirtualTestCase):
    """All servers of a service start at once and are cold for seconds."""

    async def test_cold_servers_take_as_many_requests_as_warm_ones(self):
        """Each got a fifth of its slots, and most requests were refused."""
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            host = fixture.host_by_name[name]
            host.server.service_ms = 200
            host.announce(
                process_start_ms=500, remaining_slow_start_ms=3000, sequence=50
            )
        entries = [fixture.host_by_name[name] for name in ('b1', 'b2')]
        calls = [entry.send(deadline_ms=500) for entry in entries * 14]
        replies = await asyncio.gather(*calls)
        answered = [reply for reply in replies if reply.status == 200]
        self.assertEqual(len(answered), len(replies))
        fixture.close()


class ClockStepTest(VirtualTestCase):
    """The wall clock of a host jumps; only the incarnation depends on it."""

    async def test_restart_after_the_clock_was_set_back(self):
        """Peers could ignore a node whose incarnation is lower than before."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['a1']
        host.kill()
        host.incarnation = -5
        host.start()
        host.announce(process_start_ms=200)
        await asyncio.sleep(3)
        self.assertTrue(host.node.local_server.lifecycle.is_accepting)
        for other in fixture.host_by_name.values():
            routable = {each.node for each in other.node.members.routable('a')}
            self.assertEqual(routable, {'a1', 'a2'}, other.name)
        fixture.close()

    async def test_restart_after_the_clock_was_set_forward(self):
        """A node must serve on when its clock returns to the true time."""
        fixture = await make_forwarding_fixture()
        for incarnation in (10**9, 7):
            host = fixture.host_by_name['a1']
            host.kill()
            host.incarnation = incarnation - 1
            host.start()
            host.announce(process_start_ms=200 + incarnation)
            await asyncio.sleep(3)
            entry = fixture.host_by_name['b1'].node
            routable = {each.node for each in entry.members.routable('a')}
            self.assertEqual(routable, {'a1', 'a2'})
        fixture.close()
