"""Bodies that are too large for a message between nodes."""

import asyncio

from bergamotmount.forwarding.http import HttpRequest, HttpResponse
from bergamotmount.forwarding.httpconnection import HttpReply, RemoteAddress
from bergamotmount.messages import MAX_BODY_BYTES
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.virtualtime import VirtualTestCase


class LargeBodyTest(VirtualTestCase):
    """A body that no message holds must not end the calls of a link.

    The policy may allow bodies of 64 MB; a frame between nodes has 4 MB.
    """

    LARGE = b'x' * (MAX_BODY_BYTES + 1)

    async def send(self, fixture, name: str, body: bytes) -> HttpReply:
        """Send an order with a body to the node of a host."""
        headers = [
            ('Host', 'shop'),
            (HEADER_NAMES.request_id, 'large'),
            (HEADER_NAMES.deadline, '2000'),
        ]
        request = HttpRequest('POST', '/buy/1', headers, body)
        node = fixture.host_by_name[name].node
        return await node.entry.handle(request, RemoteAddress('10.0.0.9'))

    async def test_large_request(self):
        """It was sent as a frame that ends the connection."""
        fixture = await make_forwarding_fixture()
        reply = await self.send(fixture, 'b1', self.LARGE)
        self.assertEqual(reply.status, 503)
        self.assertEqual(fixture.received_counts().total(), 0)
        reply = await self.send(fixture, 'a1', self.LARGE)
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(fixture.host_by_name['a1'].server.received), 1)
        fixture.close()

    async def test_large_response(self):
        """It is unknown to a caller elsewhere, and whole to one here."""
        fixture = await make_forwarding_fixture()

        async def answer(request: HttpRequest) -> HttpResponse:
            response = make_response(request)
            response.body = self.LARGE
            return response

        fixture.host_by_name['a1'].server.behaviour = answer
        fixture.host_by_name['a2'].kill()
        await asyncio.sleep(5)
        reply = await self.send(fixture, 'b1', b'')
        self.assertEqual(reply.status, 502)
        reply = await self.send(fixture, 'a1', b'')
        self.assertEqual(reply.body, self.LARGE)
        fixture.close()
