"""Tests of the HTTP interfaces for callers and operators."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from bergamotmount.adapters import headers
from bergamotmount.adapters.admin import AdminServer
from bergamotmount.adapters.callers import CallerServer
from bergamotmount.clock import Clock
from bergamotmount.member import MemberState
from bergamotmount.memoryaccount import ORDINARY_SHARE, MemoryAccount
from bergamotmount.tests.fakes import Simulation, operation, record, state_of

SERVICE = {
    'operations': {
        'read': operation(2, True),
        'order': operation(0, False),
    },
}


class CallersTestCase(unittest.IsolatedAsyncioTestCase):
    """A node, and the HTTP server for its callers."""

    async def asyncSetUp(self):
        self.simulation = Simulation()
        self.host = self.simulation.add_host('a1', 'a', 'fd-1')
        self.host.start()
        self.node = self.host.node
        state = state_of(
            record('service/a', SERVICE),
            record('service/c', {'operations': {'gone': operation()}}),
        )
        self.node.distribution._notify_changes([], self.apply_state(state))
        callers = self.make_callers()
        self.runner = web.ServerRunner(callers.make_server())
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.url = f'http://127.0.0.1:{port}'
        self.session = aiohttp.ClientSession()

    def make_callers(self) -> CallerServer:
        return CallerServer(self.node.egress, self.node.issuer, 1000)

    async def asyncTearDown(self):
        await self.session.close()
        await self.runner.cleanup()
        self.simulation.close()

    def apply_state(self, state) -> bool:
        return self.node.distribution._follower.install_state(state)

    async def post(self, path: str, body=b'key', **header_fields):
        request_headers = {
            name.replace('_', '-'): text for name, text in header_fields.items()
        }
        async with self.session.post(
            self.url + path,
            data=body,
            headers=request_headers,
        ) as response:
            return (
                response.status,
                dict(response.headers),
                await response.read(),
            )


class CallersTest(CallersTestCase):
    """Invalid requests are refused with a status and reason, and never run."""

    async def assert_refused(
        self,
        status: int,
        reason: str,
        path: str,
        **request_fields,
    ):
        actual_status, response_headers, _ = await self.post(
            path, **request_fields
        )
        self.assertEqual(
            (actual_status, response_headers.get(headers.REASON)),
            (status, reason),
        )
        self.assertEqual(response_headers[headers.OUTCOME], 'not-run')
        self.assertFalse(self.simulation.execution_log.started)

    async def test_answer_and_request_id_are_returned(self):
        status, response_headers, body = await self.post(
            '/call/a/read',
            b'k',
            Bergamot_Request_Id='mine',
        )
        self.assertEqual((status, body), (200, b'k'))
        self.assertEqual(response_headers[headers.OUTCOME], 'answered')
        self.assertEqual(response_headers[headers.REQUEST_ID], 'mine')

    async def test_unknown_operations_are_refused(self):
        for path in ('/call/a/none', '/call/none/read', '/call/A/read'):
            await self.assert_refused(404, 'unknown_operation', path)

    async def test_service_without_server_is_refused(self):
        await self.assert_refused(503, 'no_server', '/call/c/gone')

    async def test_invalid_headers_are_refused(self):
        path = '/call/a/read'
        for text in ('soon', '1e3', '99999999999', ''):
            await self.assert_refused(
                400,
                'bad_header',
                path,
                Bergamot_Deadline_Ms=text,
            )
        for text in ('-1', '4', 'high'):
            await self.assert_refused(
                400,
                'bad_header',
                path,
                Bergamot_Level=text,
            )

    async def test_passed_deadline_is_refused(self):
        for text in ('0', '-5'):
            await self.assert_refused(
                408,
                'deadline_passed',
                '/call/a/read',
                Bergamot_Deadline_Ms=text,
            )

    async def test_forged_parents_and_tickets_are_refused(self):
        await self.assert_refused(
            403,
            'unknown_parent',
            '/call/a/read',
            Bergamot_Parent='forged',
        )
        await self.assert_refused(
            400,
            'ticket_invalid',
            '/call/a/order',
            Bergamot_Ticket='forged',
        )

    async def test_body_over_the_limit_is_refused(self):
        await self.assert_refused(
            413,
            'body_too_large',
            '/call/a/read',
            body=b'x' * 1001,
        )

    async def test_header_over_the_limit_is_refused(self):
        status, _, _ = await self.post('/call/a/read', X_Long='x' * 10_000)
        self.assertEqual(status, 400)
        self.assertFalse(self.simulation.execution_log.started)

    async def test_request_with_same_ticket_runs_once(self):
        status, response_headers, _ = await self.post('/call/a/order')
        self.assertEqual(status, 428)
        ticket = response_headers[headers.TICKET]
        for _ in range(3):
            response = await self.post(
                '/call/a/order', b'o', Bergamot_Ticket=ticket
            )
            self.assertEqual((response[0], response[2]), (200, b'o'))
        self.assertEqual(self.simulation.execution_log.started['o'], 1)

    async def test_several_tickets_are_issued(self):
        status, _, body = await self.post('/tickets/a?count=3')
        self.assertEqual((status, body.count(b'~a~a1~')), (201, 3))

    async def test_refusal_has_retry_after_headers(self):
        self.host.server.sheds = True
        status, response_headers, _ = await self.post('/call/a/read')
        self.assertEqual(
            (status, response_headers[headers.REASON]), (503, 'server_shed')
        )
        self.assertGreaterEqual(int(response_headers[headers.RETRY_AFTER]), 1)
        self.assertGreater(int(response_headers[headers.RETRY_AFTER_MS]), 0)


class AdminTest(unittest.IsolatedAsyncioTestCase):
    """Lease renewals of a drained server, and the routes of the interface."""

    async def test_renewal_keeps_draining_state(self):
        """A renewal after the drain must not make the server accept again."""
        simulation = Simulation()
        host = simulation.add_host('a1', 'a', 'fd-1')
        host.start()
        host.node.lifecycle.drain()
        self.assertTrue(host.node.renew_server())
        self.assertFalse(host.node.lifecycle.is_accepting)
        self.assertEqual(host.node.members.local.state, MemberState.DRAINING)
        host.node.lifecycle.leave()
        self.assertFalse(host.node.renew_server())
        simulation.close()

    async def test_admin_routes_are_registered(self):
        simulation = Simulation()
        host = simulation.add_host('a1', 'a', 'fd-1')
        host.start()
        application = AdminServer(host.node, None).make_application()
        self.assertGreaterEqual(len(application.router.routes()), 9)
        simulation.close()


class CrowdOfCallersTest(CallersTestCase):
    """Callers that stop just short of an end can't fill the process."""

    MAX_BODY_BYTES = 1024 * 1024
    SENT_BYTES = 512 * 1024
    LIMIT_BYTES = 4 * 1024 * 1024
    CALLERS = 30
    MAX_CONNECTIONS = 20

    HEAD = b'POST /call/a/read HTTP/1.1\r\nHost: a\r\n'

    def make_callers(self) -> CallerServer:
        self.account = MemoryAccount(Clock(), self.LIMIT_BYTES)
        return CallerServer(
            self.node.egress,
            self.node.issuer,
            self.MAX_BODY_BYTES,
            self.account,
            self.MAX_CONNECTIONS,
        )

    async def asyncSetUp(self):
        self.writers: list[asyncio.StreamWriter] = []
        await super().asyncSetUp()

    async def asyncTearDown(self):
        self.leave()
        await super().asyncTearDown()

    def leave(self) -> None:
        """Close all connections of the crowd."""
        for writer in self.writers:
            writer.transport.abort()

    async def send_crowd(self, packed: bytes) -> None:
        """Send the same bytes on many connections, which stay open."""
        host, port = self.runner.addresses[0][:2]
        for _ in range(self.CALLERS):
            _, writer = await asyncio.open_connection(host, port)
            self.writers.append(writer)
            writer.write(packed)
            await asyncio.sleep(0.01)

    async def assert_bounded(self) -> None:
        """Check what is held, and that an ordinary request is answered."""
        await asyncio.sleep(0.1)
        max_bytes = self.LIMIT_BYTES * (1 + ORDINARY_SHARE)
        self.assertLessEqual(self.account.held_bytes, max_bytes)
        connections = len(self.runner.server.connections)
        self.assertLessEqual(connections, self.MAX_CONNECTIONS)
        answered = await self.post('/call/a/read')
        self.assertEqual(answered[0], 200)

    async def test_bodies_without_end(self):
        """Each body was bounded, their sum wasn't."""
        head = self.HEAD + b'Content-Length: 1000000\r\n\r\n'
        await self.send_crowd(head + b'x' * self.SENT_BYTES)
        await self.assert_bounded()
        self.assertTrue(self.account.sheds)

    async def test_chunks_without_end(self):
        """The same, in chunks."""
        head = self.HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        chunk = b'80000\r\n%b\r\n' % (b'x' * self.SENT_BYTES)
        await self.send_crowd(head + chunk)
        await self.assert_bounded()
        self.assertTrue(self.account.sheds)

    async def test_heads_without_end(self):
        """Lines of 8 kB, a hundred of them."""
        lines = b'a: %b\r\n' % (b'x' * 8000)
        await self.send_crowd(self.HEAD + lines * 100)
        await self.assert_bounded()
        self.assertTrue(self.account.sheds)

    async def test_idle_connections(self):
        """They send nothing at all."""
        await self.send_crowd(b'')
        await self.assert_bounded()

    async def test_all_is_given_back(self):
        """Nothing is held for callers that have left."""
        head = self.HEAD + b'Content-Length: 1000\r\n\r\n'
        await self.send_crowd(head + b'x' * 999)
        self.leave()
        await asyncio.sleep(0.2)
        self.assertEqual(self.account.held_bytes, 0)
