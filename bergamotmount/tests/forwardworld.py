"""Forwarding nodes on a fake network, with backend servers that tests play."""

import asyncio
import collections
import dataclasses
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
    BrokenExchangeError,
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
from bergamotmount.forwarding.policysource import PolicyError
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.forwarding.routetable import RoutePolicy
from bergamotmount.forwarding.store import StorePage
from bergamotmount.member import Member
from bergamotmount.messages import Message
from bergamotmount.ports import LogError
from bergamotmount.tests.fakes import (
    CountingCounters,
    FakeChannel,
    FakeClock,
    FakeDialer,
    FakeNetwork,
)
from bergamotmount.tests.test_routetable import policy, route

NAMES = HeaderNames()


class FakeStore:
    """Keyed store that can be cut off."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.policy_by_record: dict[bytes, RoutePolicy] = {}
        self.address_by_node: dict[str, str] = {}
        self.is_up = True
        self.changed = asyncio.Event()

    def publish(self, published: RoutePolicy) -> None:
        record = f'version {published.version}'.encode()
        self.policy_by_record[record] = published
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def parse(self, record: bytes) -> RoutePolicy:
        if record not in self.policy_by_record:
            raise PolicyError('no such record')
        return self.policy_by_record[record]


@dataclasses.dataclass
class FakeStoreView:
    """The store as one node reaches it."""

    store: FakeStore
    is_cut: bool = False

    async def newest_policy(self) -> StorePage:
        await self._reach()
        return StorePage(self.store.records[-1:], len(self.store.records))

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        await self._reach()
        if offset >= len(self.store.records):
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self.store.changed.wait()
            except TimeoutError:
                return StorePage([], offset)
            await self._reach()
        return StorePage(
            self.store.records[offset:],
            len(self.store.records),
        )

    async def publish_address(self, node: str, address: str) -> None:
        await self._reach()
        self.store.address_by_node[node] = address

    async def addresses(self) -> list[str]:
        await self._reach()
        return list(self.store.address_by_node.values())

    async def _reach(self) -> None:
        await asyncio.sleep(0.004)
        if self.is_cut or not self.store.is_up:
            raise LogError('store is away')


#: Plays a server: gets the request and returns its response, or raises.
Behaviour = Callable[[HttpRequest], Awaitable[HttpResponse]]


class FakeConnection:
    """Connection to a server that a test plays."""

    def __init__(self, server: 'PlayedServer') -> None:
        self.server = server
        self.requests = 0

    async def exchange(self, packed, matches, is_head=False) -> HttpResponse:
        self.requests += 1
        request = _unpack(packed)
        response = await self.server.serve(request)
        if not matches(response):
            raise BrokenExchangeError('not this one', True, False)
        return response


class FakePool:
    """Pool of such connections."""

    def __init__(self, server: 'PlayedServer') -> None:
        self.server = server
        self.opened = 0

    async def acquire(self, is_fresh=False) -> FakeConnection:
        await asyncio.sleep(0.001)
        if not self.server.listens:
            raise NotConnectedError('refused')
        self.opened += 1
        return FakeConnection(self.server)

    def release(self, connection) -> None:
        """Nothing is kept."""

    def close_idle(self) -> None:
        """Nothing is kept."""


class PlayedServer:
    """Backend server: answers after its work, unless a test replaces that."""

    def __init__(self) -> None:
        self.work_ms: float = 20
        self.listens = True
        self.running = 0
        self.most_running = 0
        self.seen: list[HttpRequest] = []
        self.cancelled: list[str] = []
        self.behaviour: Behaviour = self.answer

    async def serve(self, request: HttpRequest) -> HttpResponse:
        self.seen.append(request)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self.behaviour(request)
        except asyncio.CancelledError:
            self.cancelled.append(header_of(request.headers, NAMES.request_id))
            raise
        finally:
            self.running -= 1

    async def answer(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(self.work_ms / MS_PER_SECOND)
        return respond(request)

    async def shed(self, request: HttpRequest) -> HttpResponse:
        return respond(request, 503, not_run=True)

    async def lose(self, request: HttpRequest) -> HttpResponse:
        raise BrokenExchangeError('reset', False, False)

    async def hang(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(1000)
        return respond(request)


class ForwardHost:
    """One host: a node and the server beside it."""

    def __init__(self, world: 'ForwardWorld', name: str, service: str) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.domain = f'fd-{name[-1]}'
        self.clock = FakeClock()
        self.server = PlayedServer()
        self.counters = CountingCounters()
        self.store = FakeStoreView(world.store)
        self.is_alive = False
        self.starts = 0
        self.is_renewing = True
        self.slots = 16
        self.sequence = 0
        self.born = 100
        self.tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        self.starts += 1
        self.is_alive = True
        self.world.network.node_by_address[self.name] = self
        self.node = ForwardingNode(
            Member(self.name, self.name, 'r', self.domain, self.starts),
            ForwardingOptions(
                service=self.service,
                lease_ms=4500,
                retry=RetryBudgetOptions(0.04, 0.04, 10_000),
                stop=StopTimes(2500, 5300),
            ),
            ForwardingPorts(
                self.clock,
                FakeDialer(self.world.network, self.name),
                self.store,
                self.world.store.parse,
                self.counters,
                random.Random(self.name),
                lambda _clock, _address: FakePool(self.server),
            ),
        )
        self.node.start()
        self.tasks.add(asyncio.create_task(self._renew()))

    def announce(
        self,
        sequence: int | None = None,
        born: int = 100,
        **changes,
    ) -> None:
        terms = {'is_draining': False, 'remaining_slow_start_ms': 0, **changes}
        self.sequence = sequence or self.sequence + 1
        self.born = born
        self.node.local_server.announce(
            Announcement(
                instance=f'i-{self.name}',
                process_start_ms=born,
                sequence=self.sequence,
                address=f'{self.name}:80',
                service=self.service,
                slots=self.slots,
                **terms,
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
        for channel in self.world.network.channels:
            if channel.own == self.name:
                channel.close()

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            if self.sequence and self.is_renewing:
                self.announce(born=self.born)

    async def send(
        self,
        path: str = '/a/1',
        method: str = 'GET',
        deadline_ms: int = 2000,
        more: tuple[tuple[str, str], ...] = (),
    ) -> HttpReply:
        """Send a request as a client on this host."""
        request_id = f'{self.name}-{next(self.world.numbers)}'
        headers = [
            ('Host', 'shop'),
            (NAMES.request_id, request_id),
            (NAMES.deadline, str(deadline_ms)),
            *more,
        ]
        request = HttpRequest(method, path, headers, b'')
        return await self.node.entry.handle(request, RemoteAddress('10.0.0.9'))


class ForwardWorld:
    """A few hosts, a network and a store."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.network = FakeNetwork(self._ignore)
        self.host_by_name: dict[str, ForwardHost] = {}
        self.numbers = iter(range(1, 1_000_000))

    def add(self, name: str, service: str) -> ForwardHost:
        host = ForwardHost(self, name, service)
        self.host_by_name[name] = host
        host.start()
        return host

    def seen(self) -> collections.Counter:
        """Return how often each request reached any server."""
        return collections.Counter(
            header_of(request.headers, NAMES.request_id)
            for host in self.host_by_name.values()
            for request in host.server.seen
        )

    def close(self) -> None:
        for host in self.host_by_name.values():
            host.kill()

    def _ignore(self, name: str, message: Message) -> None:
        """Take a step of the network that nobody follows."""


async def make_forward_world(*routes) -> ForwardWorld:
    """Return two servers of ``a`` and two of ``b``, all announced."""
    world = ForwardWorld()
    world.store.publish(policy(*(routes or default_routes())))
    for name in ('a1', 'a2', 'b1', 'b2'):
        world.add(name, name[0]).announce()
    await asyncio.sleep(4)
    return world


def default_routes() -> tuple:
    """Return a route that may run again and one that may not."""
    return (
        route('read', '/a/', level=2),
        route('buy', '/buy/', is_idempotent=False, level=0, max_servers=2),
    )


def respond(
    request: HttpRequest,
    status: int = 200,
    not_run: bool = False,
    more: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Return a server's response to a request."""
    headers = [
        (NAMES.request_id, header_of(request.headers, NAMES.request_id) or ''),
        (NAMES.signature, 's'),
        *more,
    ]
    if not_run:
        headers.append((NAMES.not_run, '1'))
    return HttpResponse(status, headers, b'done')


def _unpack(packed: bytes) -> HttpRequest:
    head, _, body = packed.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ')
    headers = [tuple(line.split(': ', 1)) for line in lines]
    return HttpRequest(method, target, headers, body)
