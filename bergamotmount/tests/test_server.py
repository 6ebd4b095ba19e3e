"""Tests of the backend server's adapter against servers that misbehave."""

import asyncio
import unittest

from bergamotmount.adapters.server import HttpServer
from bergamotmount.clock import Clock
from bergamotmount.messages import Call
from bergamotmount.outcomes import Answered
from bergamotmount.ports import ServerLost, ServerShed, ServerUnreached

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'


def make_call(method: str = 'POST') -> Call:
    """Return a call with a small body."""
    return Call(1, 'root', 1, 900, 0, 'a', 'read', method, body=b'asked')


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """Only a whole answer is an answer, and nothing is sent twice."""

    async def asyncSetUp(self):
        self.answer = WHOLE
        self.requests = []
        self.listener = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{self.port}'
        self.server = HttpServer(Clock(), url, 4, max_answer_bytes=100)

    async def asyncTearDown(self):
        await self.server.close()
        self.listener.close()

    async def serve(self, reader, writer):
        answer = WHOLE
        while answer == WHOLE:
            try:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
            except asyncio.IncompleteReadError:
                break
            answer = self.answer
            writer.write(answer)
        writer.close()

    async def run_call(self, method: str = 'POST', remaining_ms: float = 5000):
        call = make_call(method)
        return await self.server.run(call, 'parent-key', remaining_ms)

    async def test_a_whole_answer(self):
        reply = await self.run_call()
        self.assertEqual(reply, Answered(200, [], b'body'))
        self.assertIn(b'Bergamot-Parent: parent-key', self.requests[0])

    async def test_a_cut_answer_is_lost(self):
        for answer in (
            WHOLE[:-1],
            WHOLE[:20],
            b'',
            b'HTTP/1.1 200 OK\r\n\r\nbody without a length',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo',
            b'garbage\r\n\r\n',
        ):
            self.answer = answer
            with self.subTest(answer=answer):
                self.assertIsInstance(await self.run_call(), ServerLost)

    async def test_no_method_is_sent_twice(self):
        for method in ('GET', 'PUT', 'DELETE', 'POST'):
            self.answer = WHOLE
            await self.run_call(method)
            self.answer = b''
            self.requests.clear()
            await self.run_call(method)
            self.assertEqual(len(self.requests), 1, method)

    async def test_a_shed_request_was_not_run(self):
        self.answer = (
            b'HTTP/1.1 503 Busy\r\nBergamot-Not-Run: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(await self.run_call(), ServerShed())

    async def test_a_large_answer_is_told_apart(self):
        self.answer = b'HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n'
        self.assertEqual(await self.run_call(), ServerLost(too_large=True))

    async def test_a_server_that_is_down_was_not_reached(self):
        self.listener.close()
        await self.listener.wait_closed()
        self.assertEqual(await self.run_call(), ServerUnreached())
