"""Tests of the backend server's adapter against servers that misbehave."""

import asyncio
import re
import unittest

from bergamotmount.adapters.server import HttpBackendServer
from bergamotmount.clock import Clock
from bergamotmount.messages import Call
from bergamotmount.outcomes import Answered
from bergamotmount.ports import ServerLost, ServerShed, ServerUnreached
from bergamotmount.tests.test_httpclient import prefixes_of

COMPLETE_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'


def make_call(method: str = 'POST') -> Call:
    """Return a call with a small body."""
    return Call(1, 'root', 1, 900, 0, 'a', 'read', method, body=b'asked')


class HttpBackendServerTest(unittest.IsolatedAsyncioTestCase):
    """Truncated answers count as lost, and no request is sent twice."""

    async def asyncSetUp(self):
        self.answer = COMPLETE_ANSWER
        self.requests = []
        self.listener = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{self.port}'
        self.server = HttpBackendServer(Clock(), url, 4, max_answer_bytes=100)

    async def asyncTearDown(self):
        await self.server.close()
        self.listener.close()

    async def serve(self, reader, writer):
        answer = COMPLETE_ANSWER
        while answer == COMPLETE_ANSWER:
            try:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
            except asyncio.IncompleteReadError:
                break
            answer = self.answer
            writer.write(answer)
        writer.close()

    async def restart(
        self, head: bytes, echoes: bool, body: bytes = b''
    ) -> None:
        """Serve anew: the second answer on a connection repeats the first."""
        await self.asyncTearDown()

        async def serve(reader, writer):
            first = b''
            for _ in range(2):
                try:
                    asked = await reader.readuntil(b'\r\n\r\n')
                except asyncio.IncompleteReadError:
                    break
                attempt = re.search(rb'Bergamot-Attempt: \d+\r\n', asked)
                echo = attempt.group() if echoes else b''
                first = first or head + echo + b'\r\n' + body
                writer.write(first)
            writer.close()

        self.listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.server = HttpBackendServer(Clock(), f'http://127.0.0.1:{port}', 1)

    async def run_call(self, method: str = 'POST', remaining_ms: float = 5000):
        call = make_call(method)
        return await self.server.run(call, 'parent-key', remaining_ms)

    async def test_complete_answer_is_returned(self):
        reply = await self.run_call()
        self.assertEqual(reply, Answered(200, [], b'body'))
        self.assertIn(b'Bergamot-Parent: parent-key', self.requests[0])

    async def test_truncated_answer_is_lost(self):
        """An answer that is truncated, has no length or isn't HTTP is lost."""
        for answer in (
            COMPLETE_ANSWER[:-1],
            COMPLETE_ANSWER[:20],
            b'',
            b'HTTP/1.1 200 OK\r\n\r\nbody without a length',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo',
            b'garbage\r\n\r\n',
            COMPLETE_ANSWER.replace(b'200', b'000'),
            COMPLETE_ANSWER.replace(b'200', b'099'),
        ):
            self.answer = answer
            with self.subTest(answer=answer):
                self.assertIsInstance(await self.run_call(), ServerLost)

    async def test_broken_connection_causes_no_resend(self):
        """The server closes a reused connection without an answer.

        The HTTP library would resend requests of some methods by itself.
        """
        for method in ('GET', 'PUT', 'DELETE', 'POST'):
            self.answer = COMPLETE_ANSWER
            await self.run_call(method)
            self.answer = b''
            self.requests.clear()
            await self.run_call(method)
            self.assertEqual(len(self.requests), 1, method)

    async def test_refusal_by_server_is_shed(self):
        self.answer = (
            b'HTTP/1.1 503 Busy\r\nBergamot-Not-Run: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(await self.run_call(), ServerShed())

    async def test_second_copy_of_a_refusal_is_no_refusal(self):
        """A server writes a refusal once more, late; the request then runs.

        It counted as not run, so that it ran again elsewhere.
        """
        refusal = (
            b'HTTP/1.1 503 Busy\r\nBergamot-Not-Run: 1\r\nContent-Length: 0\r\n'
        )
        for echoes in (False, True):
            await self.restart(refusal, echoes)
            self.assertEqual(await self.run_call(), ServerShed())
            self.assertIsInstance(await self.run_call(), ServerLost)
            self.assertEqual(await self.run_call(), ServerShed())

    async def test_answer_to_an_earlier_request_is_lost(self):
        """A second copy of an answer, late, was returned to the next one."""
        await self.restart(COMPLETE_ANSWER[:-6], echoes=True, body=b'body')
        self.assertIsInstance(await self.run_call(), Answered)
        self.assertIsInstance(await self.run_call(), ServerLost)
        self.assertIsInstance(await self.run_call(), Answered)

    async def test_truncated_head_is_lost(self):
        """A head that is cut off was not a whole answer without a body."""
        for cut in prefixes_of(COMPLETE_ANSWER):
            self.answer = cut
            with self.subTest(answer=cut):
                self.assertIsInstance(await self.run_call(), ServerLost)

    async def test_answer_over_the_limit_is_lost_as_too_large(self):
        self.answer = b'HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n'
        self.assertEqual(await self.run_call(), ServerLost(too_large=True))

    async def test_refused_connection_is_unreached(self):
        self.listener.close()
        await self.listener.wait_closed()
        self.assertEqual(await self.run_call(), ServerUnreached())
