"""The emulated deployment: hosts with nodes and servers, demand, events."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random

from bergamotmount.clock import MS_PER_SECOND, LoopClock
from bergamotmount.counters import Counters
from bergamotmount.forwarding.announcements import Announcement
from bergamotmount.forwarding.http import HttpRequest, HttpResponse, header_of
from bergamotmount.forwarding.httpconnection import RemoteAddress, HttpReply
from bergamotmount.forwarding.node import ForwardingNode
from bergamotmount.forwarding.options import (
    ForwardingOptions,
    ForwardingPorts,
    StopTimes,
)
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.forwarding.routetable import (
    CallerLimits,
    Route,
    RoutePolicy,
    ServicePolicy,
    WeightedService,
)
from bergamotmount.forwarding.store import StorePage
from bergamotmount.member import Member
from bergamotmount.reasons import (
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)
from bergamotmount.tools.emulation.budget import BudgetWatch
from bergamotmount.tools.emulation.callers import (
    HOST,
    NAMES,
    Callers,
    Results,
    make_request,
)
from bergamotmount.tools.emulation.model import (
    Deployment,
    Event,
    Kind,
    Scenario,
    Service,
)
from bergamotmount.tools.emulation.network import (
    Network,
    PlayedChannel,
    PlayedDialer,
)
from bergamotmount.tools.emulation.server import PlayedPool, PlayedServer

#: Time that nodes get to find each other before any request comes.
SETTLE_S = 4

#: How often servers announce themselves, and events are looked at.
ANNOUNCE_S = 1.5
STEP_S = 0.1

#: Time after the last request in which answers are still awaited.
FINISH_S = 7

#: Share of its usual time that a call may take, drawn anew for each.
CALL_DEADLINE_SHARE = (0.85, 1)

_REGION = 'r'
_LIMITS = CallerLimits(1 << 14, 1 << 20, 5000, 60_000)
_STOP = StopTimes(2500, 5300)


class ReasonCounters(Counters):
    """Counts refusals and retries of all nodes together, by reason."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.by_reason: collections.Counter[str] = collections.Counter()

    def refused(self, role: str, reason: RefusalReason) -> None:
        """Count a refusal."""
        self.by_reason[f'{role} refused {reason}'] += 1

    def unknown(self, role: str, reason: UnknownReason) -> None:
        """Count an unknown outcome."""
        self.by_reason[f'{role} unknown {reason}'] += 1

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.by_reason[f'retried {reason}'] += 1

    def not_retried(self, reason: NoRetryReason) -> None:
        """Count a failure that wasn't tried again."""
        self.by_reason[f'not retried {reason}'] += 1


class PlayedStore:
    """Store that holds one policy and the addresses of nodes."""

    def __init__(self) -> None:
        """Hold no addresses yet."""
        self.address_by_node: dict[str, str] = {}

    async def newest_policy(self) -> StorePage:
        """Return the record of the policy."""
        return StorePage([b'policy'], 1)

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Wait; nothing newer comes."""
        await asyncio.sleep(wait_ms / MS_PER_SECOND)
        return StorePage([], offset)

    async def publish_address(self, node: str, address: str) -> None:
        """Leave a node's address for others."""
        self.address_by_node[node] = address

    async def addresses(self) -> list[str]:
        """Return all addresses."""
        return list(self.address_by_node.values())


@dataclasses.dataclass(slots=True)
class Host:
    """One host: a node and the server beside it."""

    name: str
    domain: str
    node: ForwardingNode
    server: PlayedServer
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def serve(self, channel: PlayedChannel) -> None:
        """Serve a connection that a peer opened."""
        task = asyncio.create_task(self.node.peer_server.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class World:
    """A deployment under one scenario; make it in a running event loop."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        seed: int,
    ) -> None:
        """Draw everything from ``seed``."""
        self.deployment = deployment
        self.scenario = scenario
        self.results = Results()
        self.budget = BudgetWatch()
        self.counters = ReasonCounters()
        self.hosts: list[Host] = []
        self._rng = random.Random(seed)
        self._clock = LoopClock()
        self._network = Network()
        self._store = PlayedStore()
        self._policy = _policy_of(deployment)
        self._callers = Callers(self._send, self._rng, self.results)
        self._call_numbers = itertools.count(1)
        for service in deployment.service_by_name.values():
            for number in range(service.servers):
                self.hosts.append(self._make_host(service, number))
        self._host_by_name = {host.name: host for host in self.hosts}

    @property
    def second(self) -> float:
        """Return the second of the scenario."""
        return asyncio.get_running_loop().time() - SETTLE_S

    async def run(self) -> None:
        """Play the scenario to its end."""
        for host in self.hosts:
            host.node.start()
        announcing = asyncio.create_task(self._announce())
        stepping = asyncio.create_task(self._step())
        await asyncio.sleep(SETTLE_S)
        asking = await self._demand()
        await asyncio.wait(asking, timeout=FINISH_S)
        announcing.cancel()
        stepping.cancel()
        for host in self.hosts:
            host.node.close()
        for task in asking:
            task.cancel()

    async def _demand(self) -> list[asyncio.Task]:
        kinds = [
            kind for kind in self.deployment.kind_by_name.values() if kind.share
        ]
        shares = [kind.share for kind in kinds]
        tasks = []
        while self.second < self.scenario.seconds:
            rate = self.deployment.rate * self._strength('burst')
            await asyncio.sleep(self._rng.expovariate(rate))
            kind = self._rng.choices(kinds, shares)[0]
            host = self._rng.choice(self.hosts)
            asking = self._callers.ask(kind, host.name, self._more_tries())
            tasks.append(asyncio.create_task(asking))
        return tasks

    def _more_tries(self) -> int:
        for event in self._events('abuse'):
            if self._rng.random() < event.share:
                return int(event.strength)
        return 0

    def _strength(self, what: str) -> float:
        strength: float = 1
        for event in self._events(what):
            strength *= event.strength
        return strength

    def _events(self, what: str) -> list[Event]:
        second = self.second
        return [
            event
            for event in self.scenario.events
            if event.what == what and event.is_on(second)
        ]

    async def _send(self, request: HttpRequest, name: str) -> HttpReply:
        kind = self.deployment.kind_by_name[request.path.split('/')[1]]
        self.budget.requested(kind.service, self.second)
        host = self._host_by_name[name]
        return await host.node.entry.handle(request, RemoteAddress(name))

    def _make_host(self, service: Service, number: int) -> Host:
        domain = f'fd-{number % self.deployment.domains + 1}'
        name = f'{domain}/{service.name}-{number + 1}'
        speed = service.speeds[number % len(service.speeds)]
        server = PlayedServer(
            service,
            speed,
            self.deployment.kind_by_name,
            self._rng,
        )
        node = ForwardingNode(
            Member(name, name, _REGION, domain, 1),
            _options(service),
            ForwardingPorts(
                self._clock,
                PlayedDialer(self._network, name),
                self._store,
                lambda _: self._policy,
                self.counters,
                random.Random(self._rng.random()),
                lambda _clock, _address: PlayedPool(server),
            ),
        )
        host = Host(name, domain, node, server)
        self._network.host_by_address[name] = host
        self._wire(host)
        return host

    def _wire(self, host: Host) -> None:
        """Let the server of a host call, and watch what reaches it."""
        server = host.server
        serve = server.serve
        repeats: set[str] = set()

        async def watched(request: HttpRequest) -> HttpResponse:
            request_id = header_of(request.headers, NAMES.request_id)
            service = server.service.name
            is_repeat = self.budget.arrived(service, request_id, self.second)
            if is_repeat:
                repeats.add(request_id)
            return await serve(request)

        async def call(kind: Kind, run: str, expires_s: float) -> int:
            request_id = f's{next(self._call_numbers)}'
            if run in repeats:
                self.budget.inherit(request_id)
            return await self._call(host, kind, request_id, expires_s)

        server.serve = watched
        server.call = call

    async def _call(
        self,
        host: Host,
        kind: Kind,
        request_id: str,
        expires_s: float,
    ) -> int:
        now_s = asyncio.get_running_loop().time()
        share = self._rng.uniform(*CALL_DEADLINE_SHARE)
        remaining_ms = min(
            (expires_s - now_s) * MS_PER_SECOND,
            kind.deadline_ms * share,
        )
        request = make_request(kind, request_id, remaining_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                return (await self._send(request, host.name)).status
        return 0

    async def _announce(self) -> None:
        for sequence in itertools.count(1):
            for host in self.hosts:
                if not host.server.is_down:
                    host.node.local_server.announce(
                        _announcement(host, sequence)
                    )
            await asyncio.sleep(ANNOUNCE_S)

    async def _step(self) -> None:
        while True:
            self._apply_events()
            await asyncio.sleep(STEP_S)

    def _apply_events(self) -> None:
        cuts = self._events('cut')
        self._network.cut_domains = {event.where for event in cuts}
        for service in self.deployment.service_by_name.values():
            hosts = [
                host for host in self.hosts if host.server.service is service
            ]
            for index, host in enumerate(hosts):
                self._apply_to(host.server, index, len(hosts))

    def _apply_to(self, server: PlayedServer, index: int, servers: int) -> None:
        server.recover()
        second = self.second
        for event in self.scenario.events:
            is_hit = index < max(round(event.share * servers), 1)
            if event.where == server.service.name and event.is_on(second):
                if is_hit:
                    _disturb(server, event)


def _disturb(server: PlayedServer, event: Event) -> None:
    match event.what:
        case 'slow':
            server.slowness = event.strength
        case 'shed':
            server.shed_share = event.strength
        case 'fail':
            server.fail_share = event.strength
        case 'crash':
            server.is_down = True
        case 'hang':
            server.is_hanging = True


def _policy_of(deployment: Deployment) -> RoutePolicy:
    routes = [
        Route(
            name=kind.name,
            host=HOST,
            path_prefix=f'/{kind.name}/',
            is_idempotent=kind.is_idempotent,
            timeout_ms=kind.timeout_ms,
            target_ms=kind.aim_ms,
            level=kind.level,
            max_servers=kind.max_servers,
            split=(WeightedService(kind.service, 1),),
        )
        for kind in deployment.kind_by_name.values()
    ]
    services = {
        name: ServicePolicy(name) for name in deployment.service_by_name
    }
    return RoutePolicy(1, tuple(routes), services, _LIMITS)


def _options(service: Service) -> ForwardingOptions:
    return ForwardingOptions(
        service=service.name,
        lease_ms=3 * ANNOUNCE_S * MS_PER_SECOND,
        retry=RetryBudgetOptions(0.1, 0.02, 10_000),
        stop=_STOP,
    )


def _announcement(host: Host, sequence: int) -> Announcement:
    service = host.server.service
    return Announcement(
        instance=f'i-{host.name}',
        process_start_ms=1,
        sequence=sequence,
        address=host.name,
        service=service.name,
        slots=service.slots,
        is_draining=False,
        cold_ms=0,
    )
