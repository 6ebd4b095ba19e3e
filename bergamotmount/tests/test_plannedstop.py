"""Planned stops of a forwarding node: what is finished, and what is refused."""

import asyncio

from bergamotmount.forwarding.httpconnection import Connection
from bergamotmount.tests.faketransport import FakeTransport
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    make_forwarding_fixture,
)
from bergamotmount.tests.test_routetable import route
from bergamotmount.tests.virtualtime import VirtualTestCase


class StopTest(VirtualTestCase):
    """A graceful stop interrupts no request."""

    async def test_requests_in_flight_complete(self):
        """A stopping node could drop requests at its server or caller."""
        fixture = await make_forwarding_fixture(
            route('read', '/a/', timeout_ms=4000),
        )
        server = fixture.host_by_name['a1'].server
        server.service_ms = 3000
        in_flight = asyncio.create_task(
            fixture.host_by_name['b1'].send(deadline_ms=4000),
        )
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(fixture.host_by_name['a1'].node.stop())
        await asyncio.sleep(0.1)
        self.assertFalse(fixture.host_by_name['a1'].node.is_ready)
        reply = await fixture.host_by_name['b1'].send(deadline_ms=4000)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(server.received), 1)
        self.assertEqual((await in_flight).status, 200)
        await stopping
        self.assertNotIn('a1', fixture.store.member_by_node)
        fixture.close()


class ServerStartDuringStopTest(VirtualTestCase):
    """A server that starts beside a stopping node gets no requests."""

    async def test_node_stays_draining(self):
        """The node accepted calls again, which it cut at its end."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['a1']
        stopping = asyncio.create_task(host.node.stop())
        await asyncio.sleep(0.5)
        host.announce(sequence=1, process_start_ms=900)
        await asyncio.sleep(0.5)
        self.assertFalse(host.node.local_server.lifecycle.is_accepting)
        await stopping
        fixture.close()


class LateRequestTest(VirtualTestCase):
    """A stopping node takes no request that it couldn't finish.

    The head of an order begins to arrive before the node stops listening; the
    rest comes late in the stop.
    """

    def connect(self, host) -> tuple[Connection, FakeTransport]:
        """Return a caller's connection to the node of a host."""
        connection = Connection(host.node.caller_server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        return connection, transport

    def order(self, request_id: str) -> bytes:
        """Return the bytes of an order."""
        names = HEADER_NAMES
        return (
            'POST /buy/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n'
            f'{names.request_id}: {request_id}\r\n'
            f'{names.deadline}: 5000\r\n\r\nx'
        ).encode()

    async def send_late(self, other: bytes) -> FakeTransport:
        """Send an order late in a stop, beside another request."""
        self.fixture = await make_forwarding_fixture(
            route('buy', '/buy/', is_idempotent=False, timeout_ms=9000)
        )
        for name in ('a1', 'a2'):
            self.fixture.host_by_name[name].server.service_ms = 4900
        host = self.fixture.host_by_name['b1']
        connection, transport = self.connect(host)
        stopping = asyncio.create_task(host.node.stop())
        self.connect(host)[0].data_received(other)
        order = self.order('late')
        await asyncio.sleep(2.4)
        connection.data_received(order[:20])
        await asyncio.sleep(2.4)
        connection.data_received(order[20:])
        await asyncio.sleep(0.01)
        self.answer_at_once = bytes(transport.written)
        await stopping
        return transport

    def check_refused(self, transport: FakeTransport) -> None:
        """Check that the order was refused at once, and not passed on."""
        self.assertTrue(self.answer_at_once.startswith(b'HTTP/1.1 503 '))
        self.assertIn(b'Retry-After: ', self.answer_at_once)
        self.assertEqual(self.answer_at_once, transport.written)
        self.assertNotIn('late', self.fixture.received_counts())
        self.fixture.close()

    async def test_only_request_is_refused(self):
        """It was cut without an answer when it was about to complete."""
        self.check_refused(await self.send_late(b''))

    async def test_request_beside_another_is_refused(self):
        """It was passed on, and cut without an answer at the end."""
        self.check_refused(await self.send_late(self.order('earlier')))
        self.assertEqual(self.fixture.received_counts()['earlier'], 1)
