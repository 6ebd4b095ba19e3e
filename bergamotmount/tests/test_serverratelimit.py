"""Tests of servers that limit the rate of requests they take."""

import asyncio
import collections
import math
import random

from bergamotmount.clock import MS_PER_SECOND, LoopClock
from bergamotmount.forwarding.http import HttpRequest, HttpResponse, header_of
from bergamotmount.ratelimit import MIN_RATE, RateLimit
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    ForwardingHost,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.virtualtime import VirtualTestCase

#: Bound of the users on requests in any window, in seconds: a factor on the
#: limit, and a number of requests beyond it.
WINDOW_S = 4
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5

#: Time after a server has stated its limit from which requests count, in
#: seconds.
NOTICE_S = 0.5


class RateLimitTest(VirtualTestCase):
    """The token bucket of one node."""

    async def test_requests_in_any_window(self):
        """A changing limit or a pause could let a burst through."""
        rng = random.Random(5)
        for _ in range(30):
            await self.check_random_play(rng)

    async def check_random_play(self, rng) -> None:
        """Send whenever allowed; compare each window with the highest rate."""
        rate_limit = RateLimit(LoopClock())
        rates = [rng.uniform(0, 30) for _ in range(5)]
        sent_s: list[float] = []
        for rate in rates:
            rate_limit.record_response(rate, math.inf)
            for _ in range(rng.randrange(1, 150)):
                await asyncio.sleep(rng.choice((0.001, 0.02, 0.3)))
                if rate_limit.has_token():
                    rate_limit.take()
                    sent_s.append(asyncio.get_running_loop().time())
        allowed = allowed_in_window(max(rates))
        for start_s in sent_s:
            in_window = sum(0 <= each - start_s < WINDOW_S for each in sent_s)
            self.assertLessEqual(in_window, allowed)

    async def test_earlier_request_keeps_the_limit(self):
        """The late response to an earlier request could end the limit."""
        await asyncio.sleep(1)
        rate_limit = RateLimit(LoopClock())
        rate_limit.record_response(10, sent_ms=800)
        rate_limit.record_response(math.inf, sent_ms=900)
        self.assertTrue(rate_limit.is_limited)
        await asyncio.sleep(0.1)
        rate_limit.record_response(math.inf, sent_ms=1050)
        self.assertFalse(rate_limit.is_limited)

    async def test_server_that_takes_nothing(self):
        """A limit of 0 could keep a server out of use for good."""
        rate_limit = RateLimit(LoopClock())
        rate_limit.record_response(0, sent_ms=0)
        self.assertFalse(rate_limit.has_token())
        await asyncio.sleep(1 / MIN_RATE)
        self.assertTrue(rate_limit.has_token())


class LimitedServer:
    """Behaviour of a server that states a limit, and its arrivals."""

    def __init__(self, host: ForwardingHost, rate: float) -> None:
        self.rate: float | None = rate
        self.arrivals_s: list[float] = []
        self._server = host.server
        host.server.behaviour = self.answer

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.arrivals_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._server.service_ms / MS_PER_SECOND)
        headers = []
        if self.rate is not None:
            headers.append((HEADER_NAMES.rate_limit, str(self.rate)))
        return make_response(request, extra_headers=tuple(headers))

    async def shed(self, request: HttpRequest) -> HttpResponse:
        """Refuse without a signature and without the limit."""
        names = HEADER_NAMES
        request_id = header_of(request.headers, names.request_id)
        headers = [(names.request_id, request_id), (names.not_run, '1')]
        return HttpResponse(503, headers)

    def max_in_window(self, from_s: float) -> int:
        """Return the most arrivals in any window from a moment on."""
        window: collections.deque[float] = collections.deque()
        most = 0
        for arrival_s in self.arrivals_s:
            if arrival_s < from_s:
                continue
            window.append(arrival_s)
            while window[0] <= arrival_s - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most

    def count_between(self, start_s: float, end_s: float) -> int:
        return sum(start_s <= each < end_s for each in self.arrivals_s)


def allowed_in_window(rate: float) -> float:
    """Return how many requests the users allow in a window."""
    return ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA


class ServerRateLimitTest(VirtualTestCase):
    """A server that states a rate limit gets no more than that."""

    async def send_for(
        self, seconds: float, rate: float, paths: tuple[str, ...] = ('/a/1',)
    ) -> collections.Counter:
        """Send requests from two hosts; return statuses by path."""
        statuses: collections.Counter = collections.Counter()
        hosts = [self.fixture.host_by_name[name] for name in ('b1', 'b2')]

        async def send(host, path):
            method = 'POST' if path.startswith('/buy') else 'GET'
            reply = await host.send(path, method)
            statuses[path, reply.status] += 1
            if reply.status == 503:
                wait_s = float(
                    dict(zip(reply.headers[::2], reply.headers[1::2]))[
                        HEADER_NAMES.retry_after
                    ]
                )
                self.assertGreater(wait_s, 0)

        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds * rate)):
                host = hosts[number % len(hosts)]
                path = paths[number // len(hosts) % len(paths)]
                group.create_task(send(host, path))
                await asyncio.sleep(1 / rate)
        return statuses

    async def test_requests_beyond_a_named_limit(self):
        """An overloaded server could get as many requests as before."""
        self.fixture = await make_forwarding_fixture()
        limited = LimitedServer(self.fixture.host_by_name['a1'], 10)
        started_s = asyncio.get_running_loop().time()
        statuses = await self.send_for(10, 80)
        self.assertLessEqual(
            limited.max_in_window(started_s + NOTICE_S), allowed_in_window(10)
        )
        self.assertEqual(statuses, {('/a/1', 200): 800})
        self.fixture.close()

    async def test_limit_of_all_servers_of_a_service(self):
        """With all servers limited, less important requests could go first."""
        self.fixture = await make_forwarding_fixture()
        limited = [
            LimitedServer(self.fixture.host_by_name[name], 10)
            for name in ('a1', 'a2')
        ]
        started_s = asyncio.get_running_loop().time()
        statuses = await self.send_for(10, 60, ('/a/1', '/a/2', '/buy/1'))
        for server in limited:
            self.assertLessEqual(
                server.max_in_window(started_s + NOTICE_S),
                allowed_in_window(10),
            )
        served = {
            path: statuses[path, 200] / 200 for path in ('/a/1', '/buy/1')
        }
        self.assertGreater(served['/buy/1'], 0.7)
        self.assertLess(served['/a/1'], served['/buy/1'])
        self.fixture.close()

    async def test_limit_after_a_restart_of_the_node(self):
        """A node that has restarted could send more than the limit."""
        self.fixture = await make_forwarding_fixture()
        host = self.fixture.host_by_name['a1']
        limited = LimitedServer(host, 10)
        await self.send_for(5, 80)
        host.kill()
        await asyncio.sleep(1)
        host.start()
        restarted_s = asyncio.get_running_loop().time()
        await self.send_for(8, 80)
        arrivals = limited.count_between(restarted_s, restarted_s + 8)
        self.assertGreater(arrivals, 20)
        self.assertLessEqual(
            limited.max_in_window(restarted_s), allowed_in_window(10)
        )
        self.fixture.close()

    async def test_refusal_that_names_no_limit(self):
        """A bare refusal could end a limit that still holds."""
        self.fixture = await make_forwarding_fixture()
        host = self.fixture.host_by_name['a1']
        limited = LimitedServer(host, 10)
        rate = host.node.admission.limit.rate
        await host.send()
        await asyncio.sleep(1)
        host.server.behaviour = limited.shed
        await host.send()
        self.assertTrue(rate.is_limited)
        limited.rate = None
        host.server.behaviour = limited.answer
        await self.send_for(2, 20)
        self.assertFalse(rate.is_limited)
        self.fixture.close()

    async def test_limit_that_is_no_longer_named(self):
        """A server that has recovered could stay limited."""
        self.fixture = await make_forwarding_fixture()
        limited = LimitedServer(self.fixture.host_by_name['a1'], 10)
        await self.send_for(5, 80)
        limited.rate = None
        lifted_s = asyncio.get_running_loop().time()
        await self.send_for(5, 80)
        self.assertGreater(
            limited.count_between(lifted_s + 1, lifted_s + 5), 100
        )
        self.fixture.close()
