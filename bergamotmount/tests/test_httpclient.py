"""Tests of connections to servers: framing, unexpected bytes, reuse."""

import asyncio

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.http import header_of
from bergamotmount.forwarding.httpclient import (
    ConnectionPool,
    NotConnectedError,
)
from bergamotmount.forwarding.serverconnection import (
    MAX_REFUSED_REQUESTS,
    BrokenExchangeError,
    ServerConnection,
)
from bergamotmount.tests.faketransport import FakeTransport
from bergamotmount.tests.virtualtime import VirtualTestCase


def response_to(
    request_id: str, body: bytes = b'abc', more_headers: str = ''
) -> bytes:
    """Return the bytes of a response to the request with this id."""
    head = f'HTTP/1.1 200 OK\r\nId: {request_id}\r\n{more_headers}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


def prefixes_of(packed: bytes) -> list[bytes]:
    """Return all shorter beginnings of a message."""
    return [packed[:end] for end in range(len(packed))]


class ClientTestCase(VirtualTestCase):
    """One connection to a server whose bytes the test supplies."""

    def connect(self) -> ServerConnection:
        """Return a connection over a fake transport."""
        connection = ServerConnection(LoopClock())
        self.transport = FakeTransport(connection)
        connection.connection_made(self.transport)
        return connection

    async def start(self, connection, request_id='7', is_head=False):
        """Send a request and return the task that awaits its response."""
        task = asyncio.create_task(
            connection.exchange(
                b'GET / HTTP/1.1\r\n\r\n',
                lambda found: header_of(found.headers, 'id') == request_id,
                is_head,
            ),
        )
        await asyncio.sleep(0)
        return task


class ExchangeTest(ClientTestCase):
    """An incomplete or invalid response must not be returned as complete."""

    async def test_response_received_byte_by_byte(self):
        """A response that arrives in many parts is returned as one."""
        connection = self.connect()
        task = await self.start(connection)
        for byte in response_to('7'):
            connection.data_received(bytes((byte,)))
        response = await task
        self.assertEqual(response.body, b'abc')
        self.assertTrue(connection.is_usable)

    async def test_status_that_is_none(self):
        """The caller got 504 at its deadline, as 000 passed for interim."""
        for status in (b'000', b'001', b'099'):
            connection = self.connect()
            task = await self.start(connection)
            connection.data_received(response_to('7').replace(b'200', status))
            await self.assert_broken(task)
            self.assertFalse(connection.is_usable)

    async def test_late_refusal_that_is_cut_in_its_head(self):
        """Its head and the answer's were one: the order seemed refused.

        The second copy of an earlier refusal comes late, and is cut anywhere.
        """
        refusal = (
            b'HTTP/1.1 503 Service Unavailable\r\nServer: a/4.2\r\n'
            b'X-Not-Executed: 1\r\nRetry-After: 0.25\r\nId: 6\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        for beginning in prefixes_of(refusal)[1:]:
            connection = self.connect()
            task = await self.start(connection)
            connection.data_received(beginning + response_to('7'))
            connection.eof_received()
            with self.subTest(beginning):
                await self.assert_broken(task)

    async def assert_broken(self, task: asyncio.Task) -> None:
        """Check that an exchange has failed at once."""
        with self.assertRaises(BrokenExchangeError):
            await asyncio.wait_for(task, 0.1)

    async def test_response_without_length_ends_with_connection(self):
        """The end of the connection completes a body without a length."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(b'HTTP/1.1 200 OK\r\nId: 7\r\n\r\nab')
        connection.data_received(b'cd')
        connection.eof_received()
        response = await task
        self.assertEqual(response.body, b'abcd')
        self.assertFalse(response.is_persistent)
        self.assertFalse(connection.is_usable)

    async def test_reset_breaks_response_without_length(self):
        """A reset isn't taken for the end of a body without a length."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(b'HTTP/1.1 200 OK\r\nId: 7\r\n\r\nab')
        connection.connection_lost(ConnectionResetError())
        with self.assertRaises(BrokenExchangeError) as caught:
            await task
        self.assertTrue(caught.exception.response_started)

    async def test_truncated_body_breaks_exchange(self):
        """A body shorter than its Content-Length isn't returned."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(response_to('7')[:-1])
        connection.eof_received()
        with self.assertRaises(BrokenExchangeError):
            await task

    async def test_invalid_response_breaks_exchange(self):
        """Bytes that aren't HTTP fail the exchange and end the connection."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(b'what is this\r\n\r\n')
        with self.assertRaises(BrokenExchangeError):
            await task
        self.assertFalse(connection.is_usable)

    async def test_interim_response_is_skipped(self):
        """A response with status 1xx isn't taken for the final one."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(
            b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n' + response_to('7'),
        )
        response = await task
        self.assertEqual(response.status, 200)

    async def test_response_to_head_has_no_body(self):
        """The Content-Length of a response to HEAD announces no body."""
        connection = self.connect()
        task = await self.start(connection, is_head=True)
        connection.data_received(response_to('7')[:-3])
        response = await task
        self.assertEqual(response.body, b'')
        self.assertFalse(connection.is_usable)

    async def test_cancelling_closes_connection(self):
        """A server doesn't go on with a request that was cancelled."""
        connection = self.connect()
        task = await self.start(connection)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(self.transport.is_closed)


class TruncatedHeadTest(ClientTestCase):
    """A head that is cut off isn't taken for a response with a short body.

    A server may stop in the middle of its head and close the connection.
    """

    INTERIM = b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n'
    UNFRAMED = b'HTTP/1.1 200 OK\r\nId: 7\r\nStamp: s\r\n\r\n'
    CHUNKED = (
        b'HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\n\r\n'
    )

    async def is_broken(self, *parts: bytes) -> bool:
        """Return whether the exchange fails if the server then closes."""
        connection = self.connect()
        task = await self.start(connection)
        for part in parts:
            connection.data_received(part)
        connection.eof_received()
        connection.connection_lost(None)
        try:
            await task
        except BrokenExchangeError:
            return True
        return False

    async def test_every_prefix_breaks_the_exchange(self):
        """Also behind an interim response, which has no length either."""
        for packed in (response_to('7'), self.UNFRAMED, self.CHUNKED):
            for cut in prefixes_of(packed):
                self.assertTrue(await self.is_broken(cut), cut)
                self.assertTrue(await self.is_broken(self.INTERIM, cut), cut)
                self.assertTrue(await self.is_broken(self.INTERIM + cut), cut)

    async def test_cut_head_on_a_reused_connection(self):
        """The state of the response before must not complete the next."""
        for cut in prefixes_of(self.UNFRAMED):
            connection = self.connect()
            first = await self.start(connection)
            connection.data_received(self.INTERIM + response_to('7'))
            await first
            second = await self.start(connection)
            connection.data_received(cut)
            connection.eof_received()
            with self.assertRaises(BrokenExchangeError):
                await second


class LeftoverTest(ClientTestCase):
    """Bytes of another response must not become the answer to a request.

    A server may send an extra response, or a late one to an earlier request.
    """

    async def test_extra_response_in_same_read(self):
        """A second response along with the first prevents reuse."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(response_to('7') + response_to('7', b'xyz'))
        response = await task
        self.assertEqual(response.body, b'abc')
        self.assertFalse(connection.is_usable)

    async def test_extra_response_while_idle(self):
        """A response that arrives while idle closes the connection."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(response_to('7'))
        await task
        connection.data_received(response_to('7', b'xyz'))
        self.assertFalse(connection.is_usable)
        self.assertTrue(self.transport.is_closed)

    async def test_late_response_to_another_request(self):
        """A response to another request is dropped and prevents reuse."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(response_to('6', b'old'))
        self.assertFalse(task.done())
        connection.data_received(response_to('7'))
        response = await task
        self.assertEqual(response.body, b'abc')
        self.assertFalse(connection.is_usable)

    async def test_connection_close_prevents_reuse(self):
        """The next request isn't sent on a connection that the server ends."""
        connection = self.connect()
        task = await self.start(connection)
        connection.data_received(
            response_to('7', more_headers='Connection: close\r\n')
        )
        await task
        self.assertFalse(connection.is_usable)


class PoolTest(VirtualTestCase):
    """A connection must not be reused once the server may have closed it.

    A request that is sent on such a connection may be lost.
    """

    def pool(self) -> ConnectionPool:
        """Return a pool that opens connections over fake transports."""
        pool = ConnectionPool(LoopClock(), '10.0.0.1:80')
        pool._open = self.open
        self.opened = []
        self.ends_at_once = False
        return pool

    async def open(self) -> ServerConnection:
        """Open a connection in place of the pool."""
        connection = ServerConnection(LoopClock())
        connection.connection_made(FakeTransport(connection))
        self.opened.append(connection)
        if self.ends_at_once:
            connection.connection_lost(ConnectionResetError())
        return connection

    async def use(
        self, pool, is_fresh=False, more_headers=''
    ) -> ServerConnection:
        """Complete one exchange and return the connection it used."""
        connection = await pool.acquire(is_fresh=is_fresh)
        task = asyncio.create_task(connection.exchange(b'', lambda _: True))
        await asyncio.sleep(0)
        connection.data_received(response_to('7', more_headers=more_headers))
        await task
        pool.release(connection)
        return connection

    async def test_idle_connection_is_reused(self):
        """A connection isn't opened for each request."""
        pool = self.pool()
        first = await self.use(pool)
        self.assertIs(await self.use(pool), first)

    async def test_fresh_request_gets_no_old_connection(self):
        """A request that must not run twice avoids one idle for long."""
        pool = self.pool()
        first = await self.use(pool)
        await asyncio.sleep(0.5)
        self.assertIsNot(await self.use(pool, is_fresh=True), first)
        self.assertIs(await self.use(pool), self.opened[-1])

    async def test_stated_idle_time_is_honoured(self):
        """A connection is dropped well before the server's Keep-Alive ends."""
        pool = self.pool()
        first = await self.use(pool, more_headers='Keep-Alive: timeout=2\r\n')
        await asyncio.sleep(1.1)
        self.assertIsNot(await self.use(pool), first)

    async def test_refused_request_changes_its_connection(self):
        """A late copy of the refusal would pass for the next answer."""
        pool = self.pool()
        first = await self.use(pool)
        first.record_refusal('7')
        self.assertIsNot(await pool.acquire('7'), first)
        self.assertIs(await pool.acquire('8'), first)

    async def test_connection_with_many_refusals_is_retired(self):
        """The ids that a connection remembers could grow without bound."""
        pool = self.pool()
        connection = await pool.acquire()
        for number in range(MAX_REFUSED_REQUESTS):
            self.assertTrue(connection.is_usable)
            connection.record_refusal(str(number))
        self.assertFalse(connection.is_usable)

    async def test_new_connection_that_the_server_closes(self):
        """A request was sent on it, and waited for its deadline."""
        pool = self.pool()
        self.ends_at_once = True
        with self.assertRaises(NotConnectedError):
            await pool.acquire()

    async def test_refused_connection(self):
        """A failure to connect is distinguished from one after sending."""
        pool = ConnectionPool(LoopClock(), '127.0.0.1:1')
        with self.assertRaises(NotConnectedError):
            await pool.acquire()
