"""A request counts as not run only on evidence about its last send."""

import collections

import logbook

from bergamotmount.forwarding.http import HttpRequest, HttpResponse, header_of
from bergamotmount.forwarding.httpconnection import HttpReply
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    FakeHttpServer,
    ForwardingFixture,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.tests.wireserver import WirePool

#: Requests that are answered before, so that there is a budget for retries.
EARLIER_REQUESTS = 100


def is_refusal(response: HttpResponse) -> bool:
    """Return whether the server says that it hasn't run the request."""
    return header_of(response.headers, HEADER_NAMES.not_run) is not None


class RunRecord:
    """Servers that shed each request once and count what they run."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.sheds = 0

    def attach(self, server: FakeHttpServer) -> None:
        """Let a server shed each request when it comes first."""
        seen: set[str] = set()

        async def serve(request: HttpRequest) -> HttpResponse:
            request_id = header_of(request.headers, HEADER_NAMES.request_id)
            if request_id not in seen:
                seen.add(request_id)
                self.sheds += 1
                return make_response(request, 503, not_run=True)
            self.runs[request_id] += 1
            return await server.answer(request)

        server.behaviour = serve


class UnmarkedRefusalTest(VirtualTestCase):
    """A server that ran an order may answer with the status of a refusal."""

    async def send(
        self, status: int, path: str, method: str, not_run: bool = False
    ) -> tuple[HttpReply, int]:
        """Return the reply if servers answer so, and how often they ran."""
        fixture = await make_forwarding_fixture()

        async def answer(request: HttpRequest) -> HttpResponse:
            return make_response(request, status, not_run)

        for host in fixture.host_by_name.values():
            host.server.behaviour = answer
        reply = await fixture.host_by_name['b1'].send(path, method)
        received = fixture.received_counts().total()
        fixture.close()
        return reply, received

    async def test_order_that_ran_is_not_reported_as_refused(self):
        """Callers took the server's 503 for "not run" and ordered again."""
        for status in (408, 429, 503):
            reply, received = await self.send(status, '/buy/1', 'POST')
            self.assertEqual((reply.status, received), (502, 1))
            self.assertEqual(reply.headers, [])

    async def test_marked_refusal_is_a_refusal(self):
        """An order that hasn't run is refused, so that it may come back."""
        for status in (408, 421, 429, 503):
            reply, _ = await self.send(status, '/buy/1', 'POST', not_run=True)
            self.assertEqual(reply.status, 503)

    async def test_idempotent_request_gets_the_servers_answer(self):
        """A request that may run twice gets the status and the body."""
        reply, received = await self.send(503, '/a/1', 'GET')
        self.assertEqual((reply.status, received), (503, 1))
        self.assertEqual(reply.body, b'done')


class LateSecondRefusalTest(VirtualTestCase):
    """A second copy of a refusal isn't the answer to the next send."""

    async def start(self) -> ForwardingFixture:
        """Start servers that write each refusal once more, late."""
        fixture = await make_forwarding_fixture(
            pool_factory=lambda clock, server: WirePool(
                clock, server, is_refusal
            ),
        )
        entry = fixture.host_by_name['b1']
        for _ in range(EARLIER_REQUESTS):
            await entry.send('/buy/1', method='POST')
        self.record = RunRecord()
        for name in ('a1', 'a2'):
            self.record.attach(fixture.host_by_name[name].server)
        return fixture

    async def test_order_runs_once(self):
        """A copy of the first refusal ended the second send; it ran twice."""
        fixture = await self.start()
        reply = await fixture.host_by_name['b1'].send('/buy/1', 'POST')
        self.assertEqual(self.record.sheds, 2)
        self.assertEqual(list(self.record.runs.values()), [1])
        self.assertEqual(reply.status, 200)
        fixture.close()

    async def test_refusals_can_be_traced(self):
        """Logs didn't tell on which connection and send a refusal came."""
        with logbook.TestHandler() as handler:
            fixture = await self.start()
            await fixture.host_by_name['b1'].send('/buy/1', 'POST')
            lines = [each.message for each in handler.records]
        refused = [each for each in lines if each.startswith('server_refused')]
        self.assertGreaterEqual(len(refused), 2)
        for name in ('connection=', 'place=', 'after_ms=', 'tries='):
            self.assertIn(name, refused[0])
        fixture.close()
