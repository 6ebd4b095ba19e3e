"""Tests of requests that crash each server that begins to run them."""

import asyncio
import collections
import random

from bergamotmount.forwarding.http import HttpRequest, HttpResponse
from bergamotmount.forwarding.poisonrequests import forwarded_fingerprint
from bergamotmount.tests.forwardingfixture import (
    ForwardingFixture,
    ForwardingHost,
    make_forwarding_fixture,
    make_response,
)
from bergamotmount.tests.virtualtime import VirtualTestCase

#: Bounds of the users: retries that may reach servers, counted from a time in
#: seconds after the third crash.
CRASHES = 3
ALLOWED_RETRIES = 3
STABLE_S = 3

#: Time in seconds in which service must have recovered.
RECOVERY_S = 15

#: Time in seconds after which a crashed server starts again.
RESTART_S = 3

CRASHING_PATH = '/a/crash'


class CrashableServer:
    """Server that a request of one path crashes, 20 ms after its arrival."""

    def __init__(self, host: ForwardingHost) -> None:
        self.host = host
        self.crash_times_s: list[float] = []
        self.crashing_arrivals_s: list[float] = []
        host.server.behaviour = self.answer
        self._tasks: set[asyncio.Task] = set()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        loop = asyncio.get_running_loop()
        if request.path == CRASHING_PATH:
            self.crashing_arrivals_s.append(loop.time())
            await asyncio.sleep(0.02)
            self.crash()
        await asyncio.sleep(0.03)
        return make_response(request)

    def crash(self) -> None:
        """End the server, and start it again after some seconds."""
        server = self.host.server
        if not server.is_listening:
            return
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self.host.is_renewing = False
        server.end()
        self._tasks.add(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_S)
        self.host.server.start()
        if self.host.is_alive:
            self.host.announce(
                sequence=1, process_start_ms=self.host.process_start_ms + 1000
            )
        self.host.is_renewing = True


class CrashingRequestTest(VirtualTestCase):
    """A request that crashes its servers isn't sent on and on."""

    async def make_fixture(self) -> list[CrashableServer]:
        """Start four servers of service ``a`` and two of ``b``."""
        self.fixture: ForwardingFixture = await make_forwarding_fixture()
        for name in ('a3', 'a4'):
            self.fixture.add_host(name, 'a').announce()
        await asyncio.sleep(3)
        names = ('a1', 'a2', 'a3', 'a4')
        hosts = [self.fixture.host_by_name[name] for name in names]
        return [CrashableServer(host) for host in hosts]

    async def send_for(
        self,
        seconds: float,
        paths: tuple[str, ...],
        names: tuple[str, ...] = ('b1', 'b2', 'a1', 'a2', 'a3', 'a4'),
        interval_s: float = 0.05,
    ) -> dict[str, collections.Counter]:
        """Send requests of these paths in turn; return statuses by path."""
        statuses = {path: collections.Counter() for path in paths}
        rng = random.Random(4)

        async def send(path):
            name = rng.choice(names)
            reply = await self.fixture.host_by_name[name].send(path)
            statuses[path][reply.status] += 1

        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds / interval_s)):
                group.create_task(send(paths[number % len(paths)]))
                await asyncio.sleep(interval_s)
        return statuses

    def late_sends(self, servers: list[CrashableServer]) -> int:
        """Return how often the request was sent on after its third crash."""
        crashes_s = sorted(sum((each.crash_times_s for each in servers), []))
        if len(crashes_s) < CRASHES:
            return 0
        from_s = crashes_s[CRASHES - 1] + STABLE_S
        return sum(
            arrival_s > from_s
            for each in servers
            for arrival_s in each.crashing_arrivals_s
        )

    async def test_request_sent_on_after_three_crashes(self):
        """Callers that repeat a request could crash all servers for good."""
        servers = await self.make_fixture()
        paths = (CRASHING_PATH, *(f'/a/{number}' for number in range(9)))
        statuses = await self.send_for(60, paths)
        self.assertLessEqual(self.late_sends(servers), ALLOWED_RETRIES)
        statuses = await self.send_for(30, paths)
        self.assertLessEqual(self.late_sends(servers), ALLOWED_RETRIES)
        self.assertNotIn(200, statuses[CRASHING_PATH])
        for path in paths[1:]:
            self.assertGreater(statuses[path][200], 0.9 * 60)
        self.fixture.close()

    async def test_requests_lost_in_crashes_of_other_causes(self):
        """A frequent request could be blamed for crashes and be refused."""
        servers = await self.make_fixture()
        paths = ('/a/1', '/a/2')
        sending = asyncio.create_task(self.send_for(40, paths, interval_s=0.01))
        for _ in range(3):
            await asyncio.sleep(4)
            for server in servers[:3]:
                server.crash()
        await asyncio.sleep(RESTART_S + RECOVERY_S)
        statuses = await self.send_for(5, paths, interval_s=0.01)
        for path in paths:
            self.assertGreater(statuses[path][200], 0.95 * 250)
        await sending
        self.fixture.close()

    async def test_answers_that_do_not_clear_a_request(self):
        """Only a success shows that a server survives a request."""
        fixture = await make_forwarding_fixture()
        hosts = [fixture.host_by_name[name] for name in ('a1', 'a2')]
        host = hosts[0]
        table = host.node.quarantine.poison_requests
        fingerprint = forwarded_fingerprint('GET', 'read', '/a/1', b'')
        table.record_crash(fingerprint, 'i-z@1')
        for status in (421, 500, 504, 404):

            async def answer(request, status=status):
                return make_response(request, status)

            for each in hosts:
                each.server.behaviour = answer
                each.announce()
            await asyncio.sleep(0.1)
            await host.send()
            self.assertEqual(table.crashes(fingerprint), 1, status)
        for each in hosts:
            each.server.behaviour = each.server.answer
        await host.send()
        self.assertEqual(table.crashes(fingerprint), 0)
        fixture.close()

    async def test_request_sent_on_after_all_nodes_restarted(self):
        """Nodes that all restart could have to learn by crashes again."""
        servers = await self.make_fixture()
        await self.send_for(10, (CRASHING_PATH,))
        hosts = list(self.fixture.host_by_name.values())
        for host in hosts:
            host.kill()
        await asyncio.sleep(1)
        for host in hosts:
            host.start()
            host.announce()
        await asyncio.sleep(3)
        await self.send_for(40, (CRASHING_PATH,))
        self.assertLessEqual(self.late_sends(servers), ALLOWED_RETRIES)
        self.fixture.close()

    async def test_request_sent_on_by_a_restarted_node(self):
        """A node that restarts could send a known request on again."""
        servers = await self.make_fixture()
        await self.send_for(10, (CRASHING_PATH,))
        for name in ('b1', 'a2'):
            host = self.fixture.host_by_name[name]
            host.kill()
            await asyncio.sleep(1)
            host.start()
            if name == 'a2':
                host.announce()
        await asyncio.sleep(3)
        await self.send_for(20, (CRASHING_PATH,))
        self.assertLessEqual(self.late_sends(servers), ALLOWED_RETRIES)
        self.fixture.close()
