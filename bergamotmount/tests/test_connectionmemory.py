"""Tests of connections of callers while the memory account is full."""

import asyncio

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.connectionmemory import WrittenSizes
from bergamotmount.forwarding.httpconnection import Connection, HttpLimits
from bergamotmount.forwarding.httpserver import HttpServer, ServerBounds
from bergamotmount.memoryaccount import MemoryAccount
from bergamotmount.reasons import DropReason
from bergamotmount.tests.faketransport import FakeTransport
from bergamotmount.tests.test_httpserver import GET, ServerTestCase


class MemoryTest(ServerTestCase):
    """A full account turns away who holds most; a refusal is "not run"."""

    LIMIT_BYTES = 1024 * 1024
    LARGE_BYTES = 600 * 1024
    HEAD = b'POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 700000\r\n\r\n'

    def serve(self, max_connections: float = 10) -> None:
        """Create a server with a full set of bounds."""
        self.connect()
        self.reasons = []
        account = MemoryAccount(LoopClock(), self.LIMIT_BYTES)
        self.server = HttpServer(
            LoopClock(),
            self.echo,
            HttpLimits(),
            self.malformed.append,
            bounds=ServerBounds(
                account,
                max_connections=max_connections,
                on_overload=self.reasons.append,
            ),
        )

    def open(self) -> tuple[Connection, FakeTransport]:
        """Return one more connection of the server."""
        connection = Connection(self.server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        return connection, transport

    async def test_stuck_body_is_refused(self):
        """The body that stopped gets 503; the next one and a plain one go."""
        self.serve()
        stuck, stuck_transport = self.open()
        stuck.data_received(self.HEAD + b'x' * self.LARGE_BYTES)
        await asyncio.sleep(1)
        moving, moving_transport = self.open()
        moving.data_received(self.HEAD + b'x' * self.LARGE_BYTES)
        self.assertTrue(stuck_transport.written.startswith(b'HTTP/1.1 503 '))
        self.assertIn(b'Retry-After: 1', stuck_transport.written)
        self.assertIn(b'Connection: close', stuck_transport.written)
        self.assertEqual(self.reasons, [DropReason.NO_MEMORY])
        plain, plain_transport = self.open()
        plain.data_received(GET)
        moving.data_received(b'x' * (700_000 - self.LARGE_BYTES))
        await self.settle()
        self.assertIn(b' 200 ', plain_transport.written)
        self.assertIn(b' 200 ', moving_transport.written)
        self.assertEqual(len(self.requests), 2)

    async def test_whole_request_is_refused_unsent(self):
        """Where nothing can be given up, the newcomer isn't passed on."""
        self.serve()
        self.delay_ms_by_target = {'/a': 500}
        packed = self.HEAD + b'x' * 700_000
        first, first_transport = self.open()
        first.data_received(packed)
        second, second_transport = self.open()
        second.data_received(packed)
        written = await self.settle(0.1)
        self.assertTrue(second_transport.written.startswith(b'HTTP/1.1 503 '))
        self.assertEqual(len(self.requests), 1)
        await self.settle(1)
        self.assertIn(b' 200 ', first_transport.written)
        self.assertEqual(written, b'')

    async def test_earlier_requests_are_answered(self):
        """Those ahead of a request that is given up keep their replies."""
        self.serve()
        self.delay_ms_by_target = {'/a/1': 50}
        connection, transport = self.open()
        connection.data_received(GET + self.HEAD + b'x' * self.LARGE_BYTES)
        await asyncio.sleep(0.01)
        other, _ = self.open()
        other.data_received(self.HEAD + b'x' * self.LARGE_BYTES)
        await self.settle(0.1)
        statuses = [
            part[1:4] for part in bytes(transport.written).split(b'HTTP/1.1')
        ]
        self.assertEqual(statuses[1:], [b'200', b'503'])

    async def test_nothing_is_held_after_the_end(self):
        """Whatever ends, its memory is given back once."""
        self.serve()
        connections = [self.open()[0] for _ in range(3)]
        connections[0].data_received(GET * 3)
        connections[1].data_received(self.HEAD + b'x' * 1000)
        await self.settle()
        for connection in connections:
            connection.connection_lost(None)
        self.assertEqual(self.server.account.held_bytes, 0)

    async def test_least_active_connection_goes(self):
        """Of too many, the one that was idle for longest is closed."""
        self.serve(max_connections=2)
        busy, busy_transport = self.open()
        busy.data_received(GET[:20])
        await asyncio.sleep(1)
        _, idle_transport = self.open()
        await asyncio.sleep(1)
        new, new_transport = self.open()
        new.data_received(GET)
        await self.settle()
        self.assertTrue(idle_transport.is_closed)
        self.assertFalse(busy_transport.is_closed)
        self.assertIn(b' 200 ', new_transport.written)
        self.assertEqual(self.reasons, [DropReason.TOO_MANY_CONNECTIONS])


class WrittenSizesTest(ServerTestCase):
    """A transport keeps a write until its last byte has been sent."""

    async def test_partly_sent(self):
        """Of several writes those are held that have unsent bytes."""
        sizes = WrittenSizes()
        for size in (100, 200, 300):
            sizes.add(size)
        self.assertEqual(sizes.held(600), 600)
        self.assertEqual(sizes.held(501), 600)
        self.assertEqual(sizes.held(500), 500)
        self.assertEqual(sizes.held(1), 300)
        self.assertEqual(sizes.held(0), 0)
