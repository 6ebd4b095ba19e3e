"""Nodes of different releases serve side by side during an upgrade."""

import dataclasses

from bergamotmount.messages import Answer, Message
from bergamotmount.outcomes import Answered, NotRun
from bergamotmount.tests.forwardingfixture import make_forwarding_fixture
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.wire.codec import decode, encode
from bergamotmount.wire.frames import FrameError

Delivery = tuple[float, Message]


def rename_reason(message: Message, deliveries: list[Delivery]):
    """Deliver refusals as from a release that has a reason of its own."""
    if not isinstance(message, Answer):
        return deliveries
    kind, payload = encode(message)
    later_payload = payload.replace(b'server_shed', b'later_named')
    try:
        answer = decode(kind, later_payload)
    except FrameError:
        return []
    return [(delay_ms, answer) for delay_ms, _ in deliveries]


def strip_return(message: Message, deliveries: list[Delivery]):
    """Deliver refusals as a gateway does that may mix up two sends."""
    if not isinstance(message, Answer):
        return deliveries
    if not isinstance(message.outcome, NotRun):
        return deliveries
    older = dataclasses.replace(message.outcome, may_return=False)
    answer = dataclasses.replace(message, outcome=older)
    return [(delay_ms, answer) for delay_ms, _ in deliveries]


def make_busy(message: Message, deliveries: list[Delivery]):
    """Deliver each answer of a server as if its status were 503."""
    if not isinstance(message, Answer):
        return deliveries
    if not isinstance(message.outcome, Answered):
        return deliveries
    busy = dataclasses.replace(message.outcome, status=503)
    answer = dataclasses.replace(message, outcome=busy)
    return [(delay_ms, answer) for delay_ms, _ in deliveries]


class OlderGatewayTest(VirtualTestCase):
    """A gateway of an older release takes old refusals for new ones."""

    async def receive_counts(self, path: str, method: str) -> list[int]:
        """Return how often one request arrives at servers that all shed."""
        fixture = await make_forwarding_fixture()
        entry = fixture.host_by_name['b1']
        for _ in range(400):
            await entry.send(path, method)
        fixture.network.change_deliveries = strip_return
        for host in fixture.host_by_name.values():
            host.server.received.clear()
            host.server.behaviour = host.server.shed
        reply = await entry.send(path, method)
        self.assertEqual(reply.status, 503)
        counts = list(fixture.received_counts().values())
        fixture.close()
        return counts

    async def test_order_does_not_return_to_it(self):
        """A late copy of its refusal made the order run twice."""
        self.assertEqual(await self.receive_counts('/buy/1', 'POST'), [2])

    async def test_answer_that_looks_like_a_refusal(self):
        """It passed on a 503 for an order that the server had run."""
        fixture = await make_forwarding_fixture()
        fixture.network.change_deliveries = make_busy
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(reply.status, 502)
        self.assertEqual(list(fixture.received_counts().values()), [1])
        fixture.close()

    async def test_idempotent_request_returns_to_it(self):
        """A request that may run twice isn't given up earlier."""
        self.assertEqual(await self.receive_counts('/a/1', 'GET'), [6])


class LaterReasonTest(VirtualTestCase):
    """A node of a later release refuses for a reason unknown here."""

    async def test_refused_request_is_reported_as_not_run(self):
        """The caller of a refused order was told that it may have run."""
        fixture = await make_forwarding_fixture()
        fixture.network.change_deliveries = rename_reason
        for name in ('a1', 'a2'):
            server = fixture.host_by_name[name].server
            server.behaviour = server.shed
        reply = await fixture.host_by_name['b1'].send('/buy/1', method='POST')
        self.assertEqual(reply.status, 503)
        fixture.close()
