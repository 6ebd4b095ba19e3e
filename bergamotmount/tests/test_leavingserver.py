"""Tests of servers that state in their responses that they are leaving."""

import asyncio

from bergamotmount.forwarding.http import HttpRequest, HttpResponse
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.virtualtime import VirtualTestCase


async def answer_leaving(request: HttpRequest) -> HttpResponse:
    """Answer like a server that is leaving."""
    await asyncio.sleep(0.02)
    headers = ((HEADER_NAMES.leaving, '1'),)
    return make_response(request, extra_headers=headers)


class LeavingServerTest(VirtualTestCase):
    """A server that says it is leaving gets no new requests."""

    async def test_requests_after_a_response_of_a_leaving_server(self):
        """A server could get requests until its announcement, or its end."""
        fixture = await make_forwarding_fixture()
        leaving = fixture.host_by_name['a1']
        leaving.server.behaviour = answer_leaving
        replies = [await fixture.host_by_name['b1'].send() for _ in range(20)]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual(len(leaving.server.received), 1)
        # Its next announcements still say that it serves.
        await asyncio.sleep(8)
        for _ in range(20):
            await fixture.host_by_name['b1'].send()
        self.assertEqual(len(leaving.server.received), 1)
        fixture.close()

    async def test_successor_of_a_leaving_server(self):
        """The next process of a server that left could stay unused."""
        fixture = await make_forwarding_fixture()
        leaving = fixture.host_by_name['a1']
        leaving.server.behaviour = answer_leaving
        await fixture.host_by_name['b1'].send()
        await asyncio.sleep(3)
        leaving.server.behaviour = leaving.server.answer
        leaving.announce(sequence=1, process_start_ms=9000)
        await asyncio.sleep(1)
        for _ in range(20):
            await fixture.host_by_name['b1'].send()
        self.assertGreater(len(leaving.server.received), 1)
        fixture.close()

    async def test_requests_in_flight_at_a_leaving_server(self):
        """Requests that were sent before could be broken off."""
        fixture = await make_forwarding_fixture()
        leaving = fixture.host_by_name['a1']
        leaving.server.behaviour = answer_leaving
        sending = [fixture.host_by_name['b1'].send() for _ in range(6)]
        replies = await asyncio.gather(*sending)
        self.assertEqual({reply.status for reply in replies}, {200})
        fixture.close()
