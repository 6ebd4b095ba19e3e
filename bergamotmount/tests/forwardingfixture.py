"""Test fixture: forwarding nodes on a fake network, with fake servers."""

import asyncio
import collections
import math
import random
from collections.abc import Awaitable, Callable

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.announcements import Announcement
from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    HttpRequest,
    HttpResponse,
    header_of,
)
from bergamotmount.forwarding.httpclient import (
    NotConnectedError,
)
from bergamotmount.forwarding.httpconnection import (
    HttpReply,
    RemoteAddress,
)
from bergamotmount.forwarding.node import ForwardingNode
from bergamotmount.forwarding.options import (
    ForwardingOptions,
    ForwardingPorts,
    StopTimes,
)
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
)
from bergamotmount.member import Member
from bergamotmount.messages import Message
from bergamotmount.organisations.quotaowner import QuotaOptions
from bergamotmount.tests.fakes import (
    FakeChannel,
    FakeClock,
    FakeDialer,
    FakeNetwork,
    RecordingCounters,
)
from bergamotmount.tests.fakestore import FakeStore, FakeStoreView
from bergamotmount.tests.test_routetable import policy, route

HEADER_NAMES = HeaderNames()

#: Time in which a published policy has to be in force.
APPLY_MS = 2000

#: Path of the health checks in the policy of tests.
HEALTH_PATH = '/'


#: Behaviour of a fake server: returns the response to a request, or raises.
Behaviour = Callable[[HttpRequest], Awaitable[HttpResponse]]


class FakeConnection:
    """Connection to a fake server."""

    def __init__(self, server: 'FakeHttpServer') -> None:
        self.server = server
        self.number = 1
        self.requests = 0

    async def exchange(
        self, packed, matches, is_head=False, body=b''
    ) -> HttpResponse:
        self.requests += 1
        request = parse_request(packed + body)
        response = await self.server.serve(request)
        if not matches(response):
            raise BrokenExchangeError('response does not match', True, False)
        return response

    def record_refusal(self, request_id: str) -> None:
        """Do nothing; the connection isn't used again."""

    def close(self) -> None:
        """Do nothing; the connection has no resources."""


class FakePool:
    """Pool that opens a new connection for each exchange."""

    def __init__(self, server: 'FakeHttpServer') -> None:
        self.server = server
        self.opened = 0

    async def acquire(self, request_id='', is_fresh=False) -> FakeConnection:
        await asyncio.sleep(0.001)
        if not self.server.is_listening:
            raise NotConnectedError('refused')
        self.opened += 1
        return FakeConnection(self.server)

    async def is_refused(self) -> bool:
        await asyncio.sleep(0.001)
        return not self.server.is_listening

    def release(self, connection) -> None:
        """Do nothing; connections are not reused."""

    def close_idle(self) -> None:
        """Do nothing; no idle connections are stored."""


class FakeHttpServer:
    """HTTP backend server of a forwarding node; answers after ``service_ms``.

    Tests replace ``behaviour`` to make it shed, hang or lose answers. Its
    health checks are answered with ``health_status``, and counted.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.health_status = 200
        self.is_full = False
        self.checks = 0
        self.service_ms: float = 20
        self.is_listening = True
        self.active_requests = 0
        self.max_active_requests = 0
        self.received: list[HttpRequest] = []
        self.cancelled_ids: list[str] = []
        self.behaviour: Behaviour = self.answer
        self.end_callbacks: list[Callable[[], None]] = []
        self._ended = asyncio.Event()

    async def serve(self, request: HttpRequest) -> HttpResponse:
        if request.path == HEALTH_PATH:
            self.checks += 1
            return self.answer_check()
        self.received.append(request)
        self.active_requests += 1
        self.max_active_requests = max(
            self.max_active_requests, self.active_requests
        )
        try:
            return await self._serve_until_end(request)
        except asyncio.CancelledError:
            self.cancelled_ids.append(
                header_of(request.headers, HEADER_NAMES.request_id)
            )
            raise
        finally:
            self.active_requests -= 1

    def end(self) -> None:
        """End like a process that crashes: all its connections close."""
        self.is_listening = False
        self._ended.set()
        for notify in self.end_callbacks:
            notify()

    def start(self) -> None:
        """Start anew after an end."""
        self._ended = asyncio.Event()
        self.is_listening = True

    async def _serve_until_end(self, request: HttpRequest) -> HttpResponse:
        serving = asyncio.ensure_future(self.behaviour(request))
        ended = asyncio.ensure_future(self._ended.wait())
        try:
            await asyncio.wait(
                (serving, ended), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            ended.cancel()
            if not serving.done():
                serving.cancel()
        if self._ended.is_set():
            raise BrokenExchangeError('connection closed', False, False)
        return serving.result()

    def answer_check(self) -> HttpResponse:
        headers = [(HEADER_NAMES.instance, self.instance)]
        if self.is_full:
            headers.append((HEADER_NAMES.not_run, '1'))
        return HttpResponse(self.health_status, headers)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(self.service_ms / MS_PER_SECOND)
        return make_response(request)

    async def shed(self, request: HttpRequest) -> HttpResponse:
        return make_response(request, 503, not_run=True)

    async def lose_answer(self, request: HttpRequest) -> HttpResponse:
        raise BrokenExchangeError('reset', False, False)

    async def hang(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(1000)
        return make_response(request)


class ForwardingHost:
    """One host with a forwarding node and its backend server."""

    def __init__(
        self, fixture: 'ForwardingFixture', name: str, service: str
    ) -> None:
        self.fixture = fixture
        self.name = name
        self.service = service
        self.domain = f'fd-{name[-1]}'
        self.clock = FakeClock()
        self.server = FakeHttpServer(f'i-{name}')
        self.counters = RecordingCounters()
        self.store = FakeStoreView(fixture.store)
        self.is_alive = False
        self.incarnation = 0
        self.is_renewing = True
        self.slots = 16
        self.sequence = 0
        self.process_start_ms = 100
        self.tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        self.incarnation += 1
        self.is_alive = True
        self.fixture.network.host_by_address[self.name] = self
        self.node = ForwardingNode(
            Member(self.name, self.name, 'r', self.domain, self.incarnation),
            ForwardingOptions(
                service=self.service,
                lease_ms=4500,
                retry=self.fixture.retry,
                stop=StopTimes(2500, 5300),
                is_first_start=self.incarnation == 1,
                policy_lease_ms=self.fixture.policy_lease_ms,
                policy_apply_ms=APPLY_MS,
                quota=self.fixture.quota,
            ),
            ForwardingPorts(
                self.clock,
                FakeDialer(self.fixture.network, self.name),
                self.store,
                self.fixture.store.parse,
                self.counters,
                random.Random(self.name),
                lambda clock, _: self.fixture.pool_factory(clock, self.server),
            ),
        )
        self.node.start()
        self.tasks.add(asyncio.create_task(self._renew_lease()))

    def announce(
        self,
        sequence: int | None = None,
        process_start_ms: int = 100,
        **changes,
    ) -> None:
        """Announce the server; ``changes`` replace fields of the default."""
        fields = {'is_draining': False, 'remaining_slow_start_ms': 0, **changes}
        self.sequence = sequence or self.sequence + 1
        self.process_start_ms = process_start_ms
        self.node.local_server.announce(
            Announcement(
                instance=f'i-{self.name}',
                process_start_ms=process_start_ms,
                sequence=self.sequence,
                address=f'{self.name}:80',
                service=self.service,
                slots=self.slots,
                **fields,
            ),
        )

    def serve(self, channel: FakeChannel) -> None:
        task = asyncio.create_task(self.node.peer_server.serve(channel))
        self.tasks.add(task)

    def kill(self) -> None:
        self.is_alive = False
        self.node.close()
        for task in self.tasks:
            task.cancel()
        for channel in self.fixture.network.channels:
            if channel.local == self.name:
                channel.close()

    async def _renew_lease(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            if self.sequence and self.is_renewing:
                self.announce(process_start_ms=self.process_start_ms)

    async def send(
        self,
        path: str = '/a/1',
        method: str = 'GET',
        deadline_ms: int = 2000,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpReply:
        """Send a request to the entry of this host's node."""
        request_id = f'{self.name}-{next(self.fixture.request_numbers)}'
        headers = [
            ('Host', 'shop'),
            (HEADER_NAMES.request_id, request_id),
            (HEADER_NAMES.deadline, str(deadline_ms)),
            *extra_headers,
        ]
        request = HttpRequest(method, path, headers, b'')
        return await self.node.entry.handle(request, RemoteAddress('10.0.0.9'))


class ForwardingFixture:
    """Hosts with forwarding nodes, their network and the store."""

    def __init__(
        self,
        policy_lease_ms: float = math.inf,
        quota: QuotaOptions = QuotaOptions(),
        retry: RetryBudgetOptions = RetryBudgetOptions(0.04, 0.04, 10_000),
        pool_factory: Callable = lambda _clock, server: FakePool(server),
    ) -> None:
        self.pool_factory = pool_factory
        self.policy_lease_ms = policy_lease_ms
        self.quota = quota
        self.retry = retry
        self.store = FakeStore()
        self.network = FakeNetwork(self._ignore_step)
        self.host_by_name: dict[str, ForwardingHost] = {}
        self.request_numbers = iter(range(1, 1_000_000))

    def add_host(self, name: str, service: str) -> ForwardingHost:
        host = ForwardingHost(self, name, service)
        self.host_by_name[name] = host
        host.start()
        return host

    def received_counts(self) -> collections.Counter:
        """Return how often each request reached a server, by request id."""
        return collections.Counter(
            header_of(request.headers, HEADER_NAMES.request_id)
            for host in self.host_by_name.values()
            for request in host.server.received
        )

    def close(self) -> None:
        for host in self.host_by_name.values():
            host.kill()

    def _ignore_step(self, name: str, message: Message) -> None:
        """Ignore a step that the network reports."""


async def make_forwarding_fixture(*routes, **settings) -> ForwardingFixture:
    """Start two servers each of services ``a`` and ``b`` and announce them."""
    fixture = ForwardingFixture(**settings)
    fixture.store.publish(policy(*(routes or default_routes())))
    for name in ('a1', 'a2', 'b1', 'b2'):
        fixture.add_host(name, name[0]).announce()
    await asyncio.sleep(4)
    return fixture


def default_routes() -> tuple:
    """Return an idempotent route and one that isn't."""
    return (
        route('read', '/a/', level=2),
        route('buy', '/buy/', is_idempotent=False, level=0, max_servers=2),
    )


def make_response(
    request: HttpRequest,
    status: int = 200,
    not_run: bool = False,
    extra_headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Return a signed response of a server to a request."""
    headers = [
        (
            HEADER_NAMES.request_id,
            header_of(request.headers, HEADER_NAMES.request_id) or '',
        ),
        (HEADER_NAMES.signature, 's'),
        *extra_headers,
    ]
    if not_run:
        headers.append((HEADER_NAMES.not_run, '1'))
    return HttpResponse(status, headers, b'done')


def parse_request(packed: bytes) -> HttpRequest:
    """Return the request whose bytes a node sent to a server."""
    head, _, body = packed.partition(b'\r\n\r\n')
    request_line, *header_lines = head.decode('latin-1').split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = [tuple(line.split(': ', 1)) for line in header_lines]
    return HttpRequest(method, target, headers, body)
