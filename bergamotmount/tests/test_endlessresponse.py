"""Bytes that are no response, or never end, cost bounded memory and time."""

import asyncio
import itertools
import re

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.http import HttpResponse
from bergamotmount.forwarding.httpconnection import (
    Connection,
    HttpLimits,
    HttpReply,
)
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.forwarding.responsebuffer import ResponseBuffer
from bergamotmount.forwarding.serverconnection import (
    MAX_OVERHEAD_BYTES,
    MAX_RESPONSE_BYTES,
    BrokenExchangeError,
    ServerConnection,
)
from bergamotmount.tests.faketransport import FakeTransport
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.tools.virtualloop import run_virtual

#: Bytes in one read of the connection.
READ_BYTES = 64 * 1024

BODY = b'whole body'
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n' + BODY
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n'
)
RESPONSES = (RESPONSE, CHUNKED, RESPONSE + RESPONSE)
CHUNK_END = b'\r\n4\r\n'
REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n' + BODY

fuzz = settings(max_examples=300, derandomize=True, deadline=None)


@st.composite
def damaged(draw, originals) -> list[bytes]:
    """Return a message with some bytes changed, cut into parts."""
    packed = draw(st.sampled_from(originals))
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(packed) - 1))
        removed = draw(st.integers(0, 2))
        inserted = draw(st.binary(max_size=4))
        head, tail = packed[:start], packed[start + removed :]
        packed = head + inserted + tail
    positions = st.integers(0, len(packed))
    cuts = sorted(draw(st.lists(positions, max_size=5)))
    bounds = itertools.pairwise([0, *cuts, len(packed)])
    return [packed[start:end] for start, end in bounds]


class EndlessTest(VirtualTestCase):
    """A faulty server sends until the connection is closed."""

    async def send_endlessly(self, start: bytes, part: bytes, max_bytes: int):
        """Send a start, then a part again and again; check the bounds."""
        buffer = ResponseBuffer()
        connection = ServerConnection(LoopClock(), buffer)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        exchange = asyncio.create_task(
            connection.exchange(b'GET / HTTP/1.1\r\n\r\n', lambda _: True)
        )
        await asyncio.sleep(0)
        connection.data_received(start)
        sent_bytes = 0
        while not transport.is_closed:
            self.assertLessEqual(sent_bytes, max_bytes + READ_BYTES)
            connection.data_received(part)
            sent_bytes += len(part)
        with self.assertRaises(BrokenExchangeError):
            await exchange
        self.assertFalse(connection.is_usable)
        await asyncio.sleep(0)
        self.assertEqual(buffer._used_bytes, 0)

    async def test_head_without_end(self):
        """A header that never ends was collected in memory."""
        await self.send_endlessly(
            b'HTTP/1.1 200 OK\r\nA: ', b'x' * READ_BYTES, MAX_OVERHEAD_BYTES
        )

    async def test_headers_without_end(self):
        """One header after the other was collected in memory."""
        await self.send_endlessly(
            b'HTTP/1.1 200 OK\r\n', b'A: b\r\n' * 1000, MAX_OVERHEAD_BYTES
        )

    async def test_interim_responses_without_end(self):
        """Interim responses could keep a request until its deadline."""
        await self.send_endlessly(
            b'', b'HTTP/1.1 103 Early\r\n\r\n' * 100, MAX_OVERHEAD_BYTES
        )

    async def test_chunk_size_without_end(self):
        """A chunk extension that never ends belongs to no body."""
        await self.send_endlessly(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=',
            b'x' * READ_BYTES,
            MAX_OVERHEAD_BYTES,
        )

    async def test_body_without_end(self):
        """A body without a length could fill the memory."""
        await self.send_endlessly(
            b'HTTP/1.1 200 OK\r\n\r\n', b'x' * READ_BYTES, MAX_RESPONSE_BYTES
        )

    async def test_bodies_on_many_connections(self):
        """Each body alone was bounded, not all of a server together."""
        buffer = ResponseBuffer(max_bytes=10 * READ_BYTES)
        exchanges = []
        for _ in range(8):
            connection = ServerConnection(LoopClock(), buffer)
            connection.connection_made(FakeTransport(connection))
            exchanges.append(
                asyncio.create_task(
                    connection.exchange(b'GET / HTTP/1.1\r\n\r\n', lambda _: 1)
                )
            )
            await asyncio.sleep(0)
            connection.data_received(b'HTTP/1.1 200 OK\r\n\r\n')
            for _ in range(4):
                if connection.is_usable:
                    connection.data_received(b'x' * READ_BYTES)
            self.assertLessEqual(buffer._used_bytes, 11 * READ_BYTES)
            await asyncio.sleep(0)
        failed = [each for each in exchanges if each.done()]
        self.assertEqual(len(failed), 6)
        for exchange in failed:
            self.assertIsInstance(exchange.exception(), BrokenExchangeError)
        for exchange in exchanges:
            exchange.cancel()


class ResponseParserTest(VirtualTestCase):
    """No bytes of a server raise an error or make up a body."""

    @fuzz
    @given(damaged(RESPONSES))
    def test_damaged_responses(self, parts):
        """A damaged response could pass for a complete one."""
        response = run_virtual(self.exchange(parts))
        if response is not None:
            self.assertIn(
                response.body, b''.join(parts).replace(CHUNK_END, b'')
            )

    @fuzz
    @given(st.sampled_from((RESPONSE, CHUNKED)), st.integers(1, len(RESPONSE)))
    def test_truncated_responses(self, packed, missing):
        """A response that is cut off must never be a success."""
        self.assertIsNone(run_virtual(self.exchange([packed[:-missing]])))

    async def exchange(self, parts) -> HttpResponse | None:
        """Return the response to a request, ``None`` if the exchange fails."""
        connection = ServerConnection(LoopClock())
        connection.connection_made(FakeTransport(connection))
        exchange = asyncio.create_task(
            connection.exchange(b'GET / HTTP/1.1\r\n\r\n', lambda _: True)
        )
        await asyncio.sleep(0)
        for part in parts:
            connection.data_received(part)
        connection.connection_lost(None)
        try:
            return await exchange
        except BrokenExchangeError:
            return None


class RequestParserTest(VirtualTestCase):
    """No bytes of a caller raise an error or smuggle a second request."""

    @fuzz
    @given(damaged((REQUEST,)))
    def test_damaged_requests(self, parts):
        """Two readings of one message could make a second request."""
        bodies, written = run_virtual(self.receive(parts))
        packed = b''.join(parts)
        starts = len(re.findall(rb' HTTP/1\.1\r?\n', packed))
        self.assertLessEqual(len(bodies), max(starts, 1))
        for status in re.findall(rb'^HTTP/1.1 (\d+)', written):
            self.assertIn(status[:1], b'24')

    async def receive(self, parts) -> tuple[list[bytes], bytes]:
        """Return the bodies of the requests in some bytes, and the replies."""
        bodies = []

        async def reply(request, _) -> HttpReply:
            bodies.append(request.body)
            return HttpReply(200)

        server = HttpServer(LoopClock(), reply, HttpLimits(), lambda _: None)
        connection = Connection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        for part in parts:
            connection.data_received(part)
            await asyncio.sleep(0)
        return bodies, bytes(transport.written)
