"""Tests of several forwarding nodes: forwarding, retries, drain and policy."""

import asyncio

import logbook

from bergamotmount.forwarding.http import header_of
from bergamotmount.reasons import RefusalReason
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    FakeConnection,
    FakePool,
    default_routes,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.test_routetable import policy, route
from bergamotmount.tests.virtualtime import VirtualTestCase


class SlowPool(FakePool):
    """Pool that takes nearly a second to open a connection."""

    async def acquire(self, request_id='', is_fresh=False) -> FakeConnection:
        await asyncio.sleep(0.9)
        return await super().acquire(request_id, is_fresh)


class RequestTest(VirtualTestCase):
    """A request reaches one server, with the headers that the nodes set."""

    async def test_headers_at_the_server(self):
        """A caller could forge the headers that nodes set for the server."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['b1']
        forged = (
            (HEADER_NAMES.caller, 'z'),
            (HEADER_NAMES.target, 'i-z'),
            ('X-Own', 'q'),
        )
        reply = await host.send('/a/1?x=y', extra_headers=forged)
        self.assertEqual((reply.status, reply.body), (200, b'done'))
        self.assertIn(HEADER_NAMES.signature, reply.headers)
        local_server = fixture.host_by_name['a1'].server
        received = local_server.received[0]
        self.assertEqual(received.target, '/a/1?x=y')
        names = [name for name, _ in received.headers]
        for name in (
            HEADER_NAMES.caller,
            HEADER_NAMES.target,
            HEADER_NAMES.deadline,
        ):
            self.assertEqual(names.count(name), 1, name)
        self.assertEqual(header_of(received.headers, HEADER_NAMES.caller), 'b')
        self.assertEqual(
            header_of(received.headers, HEADER_NAMES.target), 'i-a1'
        )
        self.assertEqual(header_of(received.headers, 'X-Own'), 'q')
        remaining_ms = int(header_of(received.headers, HEADER_NAMES.deadline))
        self.assertLessEqual(remaining_ms, 1000)
        fixture.close()

    async def test_no_route_and_no_policy(self):
        """A request without a route or policy could get a wrong status."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['b1']
        self.assertEqual((await host.send('/none/1')).status, 404)
        new_host = fixture.add_host('c1', 'c')
        new_host.store.is_partitioned = True
        reply = await new_host.send()
        self.assertEqual(reply.status, 503)
        self.assertIn(HEADER_NAMES.retry_after, reply.headers)
        self.assertFalse(new_host.node.is_ready)
        fixture.close()

    async def test_time_to_return_follows_from_the_callers_deadline(self):
        """All nodes restart, and servers are known again within seconds.

        Callers with five seconds left were told to return within a third of
        the route's timeout, and were refused for the second and last time.
        """
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            fixture.host_by_name[name].kill()
        entry = fixture.host_by_name['b1']
        await asyncio.sleep(6)
        waits_s = []
        for deadline_ms in (5000, 600):
            reply = await entry.send(deadline_ms=deadline_ms)
            self.assertEqual(reply.status, 503)
            waits_s.append(float(reply.headers[-1]))
        self.assertGreater(waits_s[0], 1)
        self.assertLessEqual(waits_s[0], 5 / 3)
        self.assertLessEqual(waits_s[1], 0.2)
        fixture.close()

    async def test_repeated_header_is_rejected(self):
        """Node and server could read different values of a repeated header."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['b1']
        reply = await host.send(
            extra_headers=((HEADER_NAMES.deadline, '9000'),)
        )
        self.assertEqual(reply.status, 400)
        self.assertEqual(sum(fixture.received_counts().values()), 0)
        fixture.close()

    async def test_route_timeout_bounds_the_wait(self):
        """A caller with a late deadline could wait past the route timeout."""
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            server = fixture.host_by_name[name].server
            server.behaviour = server.hang
        started_s = asyncio.get_running_loop().time()
        reply = await fixture.host_by_name['b1'].send(deadline_ms=5000)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertEqual(reply.status, 504)
        self.assertAlmostEqual(elapsed_s, 1, delta=0.05)
        fixture.close()

    async def test_cancelled_request_is_cancelled_at_the_server(self):
        """A server could go on working for a caller that has disconnected."""
        fixture = await make_forwarding_fixture()
        server = fixture.host_by_name['a1'].server
        server.behaviour = server.hang
        task = asyncio.create_task(fixture.host_by_name['b1'].send())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(len(server.cancelled_ids), 1)
        fixture.close()


class AtMostOnceTest(VirtualTestCase):
    """A non-idempotent request is retried only after a known "not run"."""

    async def test_no_retry_after_a_lost_answer(self):
        """A request whose answer is lost could run on a second server."""
        fixture = await make_forwarding_fixture()
        for host in fixture.host_by_name.values():
            host.server.behaviour = host.server.lose_answer
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 502)
        self.assertEqual(max(fixture.received_counts().values()), 1)
        fixture.close()

    async def test_shed_request_is_retried(self):
        """A request shed by its server could fail although another is idle."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['b1']
        for _ in range(60):
            await host.send('/buy/1', 'POST')
        local_server = fixture.host_by_name['a1'].server
        local_server.behaviour = local_server.shed
        reply = await host.send('/buy/1', 'POST')
        self.assertEqual(reply.status, 200)
        self.assertEqual(max(fixture.received_counts().values()), 2)
        fixture.close()

    async def test_no_not_run_after_a_possible_run(self):
        """A shed retry after a lost answer could be reported as not run."""
        fixture = await make_forwarding_fixture()
        local, remote = (fixture.host_by_name[name] for name in ('a1', 'a2'))
        host = fixture.host_by_name['b1']
        for _ in range(60):
            await host.send()
        local.server.behaviour = local.server.lose_answer
        remote.server.behaviour = remote.server.shed
        replies = [await host.send() for _ in range(5)]
        statuses = [reply.status for reply in replies]
        self.assertIn(502, statuses)
        received_counts = fixture.received_counts()
        for host_name in ('a1', 'a2'):
            self.assertTrue(fixture.host_by_name[host_name].server.received)
        self.assertLessEqual(max(received_counts.values()), 2)
        fixture.close()

    async def test_non_idempotent_request_outlives_its_caller(self):
        """A disconnecting caller could interrupt a non-idempotent request."""
        fixture = await make_forwarding_fixture()
        server = fixture.host_by_name['a1'].server
        server.service_ms = 300
        task = asyncio.create_task(
            fixture.host_by_name['b1'].send('/buy/1', 'POST'),
        )
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.5)
        self.assertEqual(server.cancelled_ids, [])
        fixture.close()

    async def test_order_that_waits_for_a_connection_ends_with_its_caller(self):
        """It reached the server up to a second after its caller had left."""
        fixture = await make_forwarding_fixture(
            pool_factory=lambda _clock, server: SlowPool(server)
        )
        host = fixture.host_by_name['b1']
        sending = asyncio.create_task(host.send('/buy/1', method='POST'))
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.sleep(2)
        self.assertEqual(fixture.received_counts().total(), 0)
        for host in fixture.host_by_name.values():
            self.assertEqual(host.node.admission.in_flight, 0)
        fixture.close()

    async def test_success_without_signature_is_unknown(self):
        """An answer that the server didn't produce could pass as a success."""
        fixture = await make_forwarding_fixture()

        async def answer_unsigned(request):
            response = make_response(request)
            response.headers = response.headers[:1]
            return response

        for host in fixture.host_by_name.values():
            host.server.behaviour = answer_unsigned
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 502)
        fixture.close()


class IdentityTest(VirtualTestCase):
    """Only the announced server process receives requests."""

    async def test_other_server_at_the_address(self):
        """Requests could reach another process that took over the address."""
        fixture = await make_forwarding_fixture()

        async def answer_misdirected(request):
            return make_response(request, 421)

        local = fixture.host_by_name['a1']
        local.server.behaviour = answer_misdirected
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 200)
        await asyncio.sleep(0.1)
        for _ in range(10):
            await fixture.host_by_name['b1'].send()
        self.assertEqual(len(local.server.received), 1)
        local.announce()
        await asyncio.sleep(0.1)
        self.assertTrue(local.node.local_server.lifecycle.is_accepting)
        fixture.close()

    async def test_restarted_node_serves_after_an_announcement(self):
        """A server could stay unused after the node beside it restarted."""
        fixture = await make_forwarding_fixture()
        local = fixture.host_by_name['a1']
        local.kill()
        reply = await fixture.host_by_name['b1'].send()
        self.assertEqual(reply.status, 200)
        local.start()
        local.announce()
        await asyncio.sleep(3)
        received_before = len(local.server.received)
        for _ in range(10):
            await fixture.host_by_name['b1'].send()
        self.assertGreater(len(local.server.received), received_before)
        fixture.close()


class RenewalTest(VirtualTestCase):
    """Renewals of an announcement carry changes of the running server."""

    async def test_slots_that_change_while_the_server_runs(self):
        """A server could get more requests than the slots it has left."""
        fixture = await make_forwarding_fixture()
        local = fixture.host_by_name['a1']
        for host in fixture.host_by_name.values():
            host.server.service_ms = 200
        local.slots = 3
        local.announce()
        await asyncio.sleep(0.5)
        known = fixture.host_by_name['b1'].node.members.member_by_node['a1']
        self.assertEqual(known.slots, 3)
        requests = [fixture.host_by_name['b1'].send() for _ in range(20)]
        await asyncio.gather(*requests)
        self.assertLessEqual(local.server.max_active_requests, 3)
        fixture.close()


class DepartureTest(VirtualTestCase):
    """A server receives no request after its departure is acknowledged."""

    async def test_no_request_after_the_departure(self):
        """Queued requests could still reach a server that is draining."""
        fixture = await make_forwarding_fixture()
        local = fixture.host_by_name['a1']
        local.slots = 2
        local.announce(process_start_ms=200)
        local.server.service_ms = 200
        requests = [
            asyncio.create_task(fixture.host_by_name['b1'].send())
            for _ in range(8)
        ]
        await asyncio.sleep(0.05)
        local.announce(process_start_ms=200, is_draining=True)
        received_count = len(local.server.received)
        replies = await asyncio.gather(*requests)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(len(local.server.received), received_count)
        for _ in range(10):
            await fixture.host_by_name['b1'].send()
        self.assertEqual(len(local.server.received), received_count)
        fixture.close()

    async def test_request_without_a_server_is_refused(self):
        """A request could hang or go uncounted when no server is left."""
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            fixture.host_by_name[name].node.local_server.depart(f'i-{name}')
        await asyncio.sleep(0.1)
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 503)
        counters = fixture.host_by_name['b1'].counters.counts
        self.assertEqual(counters['egress', RefusalReason.NO_SERVER], 1)
        fixture.close()


class PolicyTest(VirtualTestCase):
    """A newer version becomes effective on all nodes, an older one on none."""

    async def test_change_reaches_a_node_without_the_store(self):
        """A node that can't reach the store could keep an old policy."""
        fixture = await make_forwarding_fixture()
        isolated = fixture.host_by_name['b2']
        isolated.store.is_partitioned = True
        fixture.store.publish(
            policy(*default_routes(), route('new', '/new/'), version=7),
        )
        await asyncio.sleep(1)
        for host in fixture.host_by_name.values():
            self.assertEqual(host.node.policy_source.version, 7, host.name)
            self.assertEqual((await host.send('/new/1')).status, 200)
        fixture.close()

    async def test_new_node_gets_the_current_policy(self):
        """A node that joins after a change could miss the current policy."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(1)
        new_host = fixture.add_host('c1', 'c')
        await asyncio.sleep(1)
        new_host.store.is_partitioned = True
        self.assertEqual(new_host.node.policy_source.version, 7)
        fixture.close()

    async def test_older_record_is_ignored(self):
        """A record with a lower version could replace the policy."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(1)
        fixture.store.publish(policy(version=5))
        await asyncio.sleep(1)
        for host in fixture.host_by_name.values():
            self.assertEqual(host.node.policy_source.version, 7)
        fixture.close()

    async def test_store_outage_does_not_stop_requests(self):
        """Requests could fail, or later changes be missed, in an outage."""
        fixture = await make_forwarding_fixture()
        fixture.store.is_up = False
        await asyncio.sleep(30)
        for host in fixture.host_by_name.values():
            self.assertEqual((await host.send()).status, 200)
        fixture.store.is_up = True
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(2.5)
        for host in fixture.host_by_name.values():
            self.assertEqual(host.node.policy_source.version, 7)
        fixture.close()


class BrokenExchangeTest(VirtualTestCase):
    """The log tells why the answer of a server was lost."""

    async def test_cause_is_logged(self):
        """An answer could be lost by a reset or by bytes that are no HTTP."""
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            server = fixture.host_by_name[name].server
            server.behaviour = server.lose_answer
        with logbook.TestHandler() as handler:
            reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
            lines = [each.message for each in handler.records]
        self.assertEqual(reply.status, 502)
        broken = [line for line in lines if line.startswith('broken ')]
        self.assertEqual(len(broken), 1)
        self.assertIn(' cause=reset ', broken[0])
        fixture.close()


class OverloadTest(VirtualTestCase):
    """The server never receives more requests than its limit allows."""

    async def test_limit_keeps_headroom(self):
        """A burst could fill all slots of a server, or leave many unused."""
        fixture = await make_forwarding_fixture()
        for name in ('a1', 'a2'):
            fixture.host_by_name[name].server.service_ms = 100
        host = fixture.host_by_name['b1']
        await asyncio.gather(*(host.send() for _ in range(200)))
        for name in ('a1', 'a2'):
            server = fixture.host_by_name[name].server
            self.assertLessEqual(server.max_active_requests, 15)
            self.assertGreaterEqual(server.max_active_requests, 14)
        fixture.close()

    async def test_faulty_server_keeps_its_limit(self):
        """Sheds below the limit could lower it as if by overload."""
        fixture = await make_forwarding_fixture()
        local = fixture.host_by_name['a1']
        local.server.behaviour = local.server.shed
        host = fixture.host_by_name['b1']
        for _ in range(40):
            await host.send()
            await asyncio.sleep(0.05)
        self.assertEqual(local.node.admission.limit.current(), 15)
        requests_received = len(local.server.received)
        self.assertLess(requests_received, 20)
        fixture.close()
