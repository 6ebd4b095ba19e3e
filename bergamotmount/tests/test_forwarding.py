"""Tests of forwarding nodes together: promises, identity, leaving, policy."""

import asyncio

from bergamotmount.forwarding.http import header_of
from bergamotmount.reasons import RefusalReason
from bergamotmount.tests.forwardworld import (
    NAMES,
    default_routes,
    make_forward_world,
    respond,
)
from bergamotmount.tests.test_routetable import policy, route
from bergamotmount.tests.virtualtime import VirtualTestCase


class RequestTest(VirtualTestCase):
    """A request reaches one server, with the headers that are ours."""

    async def test_what_the_server_sees(self):
        world = await make_forward_world()
        host = world.host_by_name['b1']
        forged = ((NAMES.caller, 'z'), (NAMES.target, 'i-z'), ('X-Own', 'q'))
        reply = await host.send('/a/1?x=y', more=forged)
        self.assertEqual((reply.status, reply.body), (200, b'done'))
        self.assertIn(NAMES.signature, reply.headers)
        near = world.host_by_name['a1'].server
        seen = near.seen[0]
        self.assertEqual(seen.target, '/a/1?x=y')
        names = [name for name, _ in seen.headers]
        for name in (NAMES.caller, NAMES.target, NAMES.deadline):
            self.assertEqual(names.count(name), 1, name)
        self.assertEqual(header_of(seen.headers, NAMES.caller), 'b')
        self.assertEqual(header_of(seen.headers, NAMES.target), 'i-a1')
        self.assertEqual(header_of(seen.headers, 'X-Own'), 'q')
        remaining_ms = int(header_of(seen.headers, NAMES.deadline))
        self.assertLessEqual(remaining_ms, 1000)
        world.close()

    async def test_no_route_and_no_policy(self):
        world = await make_forward_world()
        host = world.host_by_name['b1']
        self.assertEqual((await host.send('/none/1')).status, 404)
        fresh = world.add('c1', 'c')
        fresh.store.is_cut = True
        reply = await fresh.send()
        self.assertEqual(reply.status, 503)
        self.assertIn(NAMES.retry_after, reply.headers)
        self.assertFalse(fresh.node.is_ready)
        world.close()

    async def test_a_repeated_header_is_refused(self):
        world = await make_forward_world()
        host = world.host_by_name['b1']
        reply = await host.send(more=((NAMES.deadline, '9000'),))
        self.assertEqual(reply.status, 400)
        self.assertEqual(sum(world.seen().values()), 0)
        world.close()

    async def test_the_routes_timeout_is_the_longest_wait(self):
        world = await make_forward_world()
        for name in ('a1', 'a2'):
            server = world.host_by_name[name].server
            server.behaviour = server.hang
        started_s = asyncio.get_running_loop().time()
        reply = await world.host_by_name['b1'].send(deadline_ms=5000)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertEqual(reply.status, 504)
        self.assertAlmostEqual(elapsed_s, 1, delta=0.05)
        world.close()

    async def test_a_caller_that_leaves_stops_the_server(self):
        world = await make_forward_world()
        server = world.host_by_name['a1'].server
        server.behaviour = server.hang
        task = asyncio.create_task(world.host_by_name['b1'].send())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(len(server.cancelled), 1)
        world.close()


class AtMostOnceTest(VirtualTestCase):
    """What must not run twice goes on only after a known "not run"."""

    async def test_a_lost_answer_ends_it(self):
        world = await make_forward_world()
        for host in world.host_by_name.values():
            host.server.behaviour = host.server.lose
        reply = await world.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 502)
        self.assertEqual(max(world.seen().values()), 1)
        world.close()

    async def test_a_shed_request_may_go_on(self):
        world = await make_forward_world()
        host = world.host_by_name['b1']
        for _ in range(60):
            await host.send('/buy/1', 'POST')
        near = world.host_by_name['a1'].server
        near.behaviour = near.shed
        reply = await host.send('/buy/1', 'POST')
        self.assertEqual(reply.status, 200)
        self.assertEqual(max(world.seen().values()), 2)
        world.close()

    async def test_not_run_is_not_said_after_a_possible_run(self):
        world = await make_forward_world()
        near, other = (world.host_by_name[name] for name in ('a1', 'a2'))
        host = world.host_by_name['b1']
        for _ in range(60):
            await host.send()
        near.server.behaviour = near.server.lose
        other.server.behaviour = other.server.shed
        replies = [await host.send() for _ in range(5)]
        after_loss = [reply.status for reply in replies]
        self.assertIn(502, after_loss)
        seen = world.seen()
        for host_name in ('a1', 'a2'):
            self.assertTrue(world.host_by_name[host_name].server.seen)
        self.assertLessEqual(max(seen.values()), 2)
        world.close()

    async def test_a_non_idempotent_run_outlives_its_caller(self):
        world = await make_forward_world()
        server = world.host_by_name['a1'].server
        server.work_ms = 300
        task = asyncio.create_task(
            world.host_by_name['b1'].send('/buy/1', 'POST'),
        )
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.5)
        self.assertEqual(server.cancelled, [])
        world.close()

    async def test_a_success_without_signature_is_none(self):
        world = await make_forward_world()

        async def forge(request):
            response = respond(request)
            response.headers = response.headers[:1]
            return response

        for host in world.host_by_name.values():
            host.server.behaviour = forge
        reply = await world.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 502)
        world.close()


class IdentityTest(VirtualTestCase):
    """Only the server that was announced gets work."""

    async def test_another_server_at_the_address(self):
        world = await make_forward_world()

        async def misdirected(request):
            return respond(request, 421)

        near = world.host_by_name['a1']
        near.server.behaviour = misdirected
        reply = await world.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 200)
        await asyncio.sleep(0.1)
        for _ in range(10):
            await world.host_by_name['b1'].send()
        self.assertEqual(len(near.server.seen), 1)
        near.announce()
        await asyncio.sleep(0.1)
        self.assertTrue(near.node.own_server.lifecycle.is_accepting)
        world.close()

    async def test_a_restarted_node_serves_after_an_announcement(self):
        world = await make_forward_world()
        near = world.host_by_name['a1']
        near.kill()
        reply = await world.host_by_name['b1'].send()
        self.assertEqual(reply.status, 200)
        near.start()
        near.announce()
        await asyncio.sleep(3)
        before = len(near.server.seen)
        for _ in range(10):
            await world.host_by_name['b1'].send()
        self.assertGreater(len(near.server.seen), before)
        world.close()


class DepartureTest(VirtualTestCase):
    """A confirmed departure is true at the moment it is confirmed."""

    async def test_no_work_after_it(self):
        world = await make_forward_world()
        near = world.host_by_name['a1']
        near.slots = 2
        near.announce(born=200)
        near.server.work_ms = 200
        requests = [
            asyncio.create_task(world.host_by_name['b1'].send())
            for _ in range(8)
        ]
        await asyncio.sleep(0.05)
        near.announce(born=200, is_draining=True)
        seen = len(near.server.seen)
        replies = await asyncio.gather(*requests)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(len(near.server.seen), seen)
        for _ in range(10):
            await world.host_by_name['b1'].send()
        self.assertEqual(len(near.server.seen), seen)
        world.close()

    async def test_without_any_server_it_is_refused(self):
        world = await make_forward_world()
        for name in ('a1', 'a2'):
            world.host_by_name[name].node.own_server.depart(f'i-{name}')
        await asyncio.sleep(0.1)
        reply = await world.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 503)
        counters = world.host_by_name['b1'].counters.counts
        self.assertEqual(counters['egress', RefusalReason.NO_SERVER], 1)
        world.close()


class PolicyTest(VirtualTestCase):
    """A newer version is in force everywhere soon, an older one never."""

    async def test_a_change_reaches_nodes_without_the_store(self):
        world = await make_forward_world()
        cut = world.host_by_name['b2']
        cut.store.is_cut = True
        world.store.publish(
            policy(*default_routes(), route('new', '/new/'), version=7),
        )
        await asyncio.sleep(1)
        for host in world.host_by_name.values():
            self.assertEqual(host.node.policy.version, 7, host.name)
            self.assertEqual((await host.send('/new/1')).status, 200)
        world.close()

    async def test_a_fresh_node_learns_from_its_peers(self):
        world = await make_forward_world()
        world.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(1)
        fresh = world.add('c1', 'c')
        await asyncio.sleep(1)
        fresh.store.is_cut = True
        self.assertEqual(fresh.node.policy.version, 7)
        world.close()

    async def test_an_older_record_changes_nothing(self):
        world = await make_forward_world()
        world.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(1)
        world.store.publish(policy(version=5))
        await asyncio.sleep(1)
        for host in world.host_by_name.values():
            self.assertEqual(host.node.policy.version, 7)
        world.close()

    async def test_an_outage_of_the_store_stops_nothing(self):
        world = await make_forward_world()
        world.store.is_up = False
        await asyncio.sleep(30)
        for host in world.host_by_name.values():
            self.assertEqual((await host.send()).status, 200)
        world.store.is_up = True
        world.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(2.5)
        for host in world.host_by_name.values():
            self.assertEqual(host.node.policy.version, 7)
        world.close()


class StopTest(VirtualTestCase):
    """A planned stop interrupts nothing."""

    async def test_requests_in_flight_end_well(self):
        world = await make_forward_world(
            route('read', '/a/', timeout_ms=4000),
        )
        server = world.host_by_name['a1'].server
        server.work_ms = 3000
        task = asyncio.create_task(
            world.host_by_name['b1'].send(deadline_ms=4000),
        )
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(world.host_by_name['a1'].node.stop())
        await asyncio.sleep(0.1)
        self.assertFalse(world.host_by_name['a1'].node.is_ready)
        reply = await world.host_by_name['b1'].send(deadline_ms=4000)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(server.seen), 1)
        self.assertEqual((await task).status, 200)
        await stopping
        self.assertEqual(world.store.address_by_node['a1'], '')
        world.close()


class OverloadTest(VirtualTestCase):
    """The server never gets more than it can hold, and calls go first."""

    async def test_the_limit_keeps_headroom(self):
        world = await make_forward_world()
        for name in ('a1', 'a2'):
            world.host_by_name[name].server.work_ms = 100
        host = world.host_by_name['b1']
        await asyncio.gather(*(host.send() for _ in range(200)))
        for name in ('a1', 'a2'):
            server = world.host_by_name[name].server
            self.assertLessEqual(server.most_running, 15)
            self.assertGreaterEqual(server.most_running, 14)
        world.close()

    async def test_a_broken_server_keeps_its_limit(self):
        world = await make_forward_world()
        near = world.host_by_name['a1']
        near.server.behaviour = near.server.shed
        host = world.host_by_name['b1']
        for _ in range(40):
            await host.send()
            await asyncio.sleep(0.05)
        self.assertEqual(near.node.admission.limit.current(), 15)
        shed = len(near.server.seen)
        self.assertLess(shed, 20)
        world.close()
