"""Simulation of a deployment: its hosts, the demand and the events."""

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
from bergamotmount.forwarding.httpconnection import HttpReply, RemoteAddress
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
from bergamotmount.forwarding.store import StoreEntries, StoreEra, StorePage
from bergamotmount.member import Member
from bergamotmount.reasons import (
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)
from bergamotmount.tools.emulation.budget import (
    MAX_RETRY_RATIO,
    WINDOW_S,
    RetryBudgetMonitor,
)
from bergamotmount.tools.emulation.callers import (
    EMULATION_HOST,
    HEADER_NAMES,
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
    EmulatedChannel,
    EmulatedDialer,
    Network,
)
from bergamotmount.tools.emulation.server import EmulatedPool, EmulatedServer

#: Time for the nodes to discover each other before the first request.
SETTLE_S = 4

#: Intervals at which servers announce themselves and events are applied.
ANNOUNCE_INTERVAL_S = 1.5
EVENT_CHECK_INTERVAL_S = 0.1

#: Time to wait for answers after the last request has been sent.
COMPLETION_TIMEOUT_S = 7

#: Range from which the share of the usual deadline of a nested call is drawn.
CALL_DEADLINE_SHARE_RANGE = (0.85, 1)

_REGION = 'r'
_CALLER_LIMITS = CallerLimits(1 << 14, 1 << 20, 5000, 60_000)
_STOP_TIMES = StopTimes(2500, 5300)


class ReasonCounters(Counters):
    """Counts outcomes and retries over all nodes, by reason."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
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
        """Count a failure that was not retried."""
        self.by_reason[f'not retried {reason}'] += 1


class EmulatedStore:
    """In-memory store with one policy record and the entries of nodes."""

    def __init__(self) -> None:
        """Start without entries."""
        self.era = StoreEra()
        self.member_by_node: dict[str, Member] = {}

    async def newest_policy(self) -> StorePage:
        """Return the only policy record."""
        return StorePage([b'policy'], 1)

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Wait, then return no records: the policy never changes."""
        await asyncio.sleep(wait_ms / MS_PER_SECOND)
        return StorePage([], offset)

    async def publish_member(self, member: Member, settled_era: int) -> None:
        """Store the entry of a node."""
        self.member_by_node[member.node] = member

    async def remove_member(self, node: str) -> None:
        """Remove the entry of a node."""
        self.member_by_node.pop(node, None)

    async def publish_crashes(
        self, fingerprint: int, servers: list[str]
    ) -> None:
        """Do nothing: nodes of an emulation don't restart."""

    async def remove_crashes(self, fingerprint: int) -> None:
        """Do nothing, as above."""

    async def entries(self) -> StoreEntries:
        """Return the entries of all nodes."""
        return StoreEntries(list(self.member_by_node.values()), [])


@dataclasses.dataclass(slots=True)
class Host:
    """A host: a node and the backend server beside it."""

    name: str
    domain: str
    node: ForwardingNode
    server: EmulatedServer
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def serve(self, channel: EmulatedChannel) -> None:
        """Serve a connection opened by another node."""
        task = asyncio.create_task(self.node.peer_server.serve(channel))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class Simulation:
    """Runs one scenario on a deployment.

    It has to be created in a running event loop.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        seed: int,
    ) -> None:
        """Create all hosts; nothing runs before :meth:`run`.

        All random numbers are derived from ``seed``.
        """
        self.deployment = deployment
        self.scenario = scenario
        self.results = Results()
        self.retry_budget = RetryBudgetMonitor()
        self.counters = ReasonCounters()
        self.hosts: list[Host] = []
        self._rng = random.Random(seed)
        self._clock = LoopClock()
        self.network = Network()
        self._store = EmulatedStore()
        self._route_policy = _make_policy(deployment)
        self._callers = Callers(self._send, self._rng, self.results)
        self._call_numbers = itertools.count(1)
        for service in deployment.service_by_name.values():
            for number in range(service.servers):
                self.hosts.append(self._make_host(service, number))
        self._host_by_name = {host.name: host for host in self.hosts}

    @property
    def scenario_time_s(self) -> float:
        """Return the time since the start of the demand, in seconds."""
        return asyncio.get_running_loop().time() - SETTLE_S

    async def run(self) -> None:
        """Run the scenario to its end."""
        for host in self.hosts:
            host.node.start()
        announce_task = asyncio.create_task(self._announce_servers())
        event_task = asyncio.create_task(self._apply_events_regularly())
        await asyncio.sleep(SETTLE_S)
        requests = await self._generate_requests()
        await asyncio.wait(requests, timeout=COMPLETION_TIMEOUT_S)
        announce_task.cancel()
        event_task.cancel()
        for host in self.hosts:
            host.node.close()
        for task in requests:
            task.cancel()

    async def _generate_requests(self) -> list[asyncio.Task]:
        kinds = [
            kind for kind in self.deployment.kind_by_name.values() if kind.share
        ]
        shares = [kind.share for kind in kinds]
        tasks = []
        while self.scenario_time_s < self.scenario.seconds:
            rate = self.deployment.rate * self._combined_strength('burst')
            await asyncio.sleep(self._rng.expovariate(rate))
            kind = self._rng.choices(kinds, shares)[0]
            host = self._rng.choice(self.hosts)
            request = self._callers.send_with_retries(
                kind,
                host.name,
                self._draw_extra_retries(),
            )
            tasks.append(asyncio.create_task(request))
        return tasks

    def _draw_extra_retries(self) -> int:
        for event in self._active_events('abuse'):
            if self._rng.random() < event.share:
                return int(event.strength)
        return 0

    def _combined_strength(self, effect: str) -> float:
        strength: float = 1
        for event in self._active_events(effect):
            strength *= event.strength
        return strength

    def _active_events(self, effect: str) -> list[Event]:
        time_s = self.scenario_time_s
        return [
            event
            for event in self.scenario.events
            if event.effect == effect and event.is_active(time_s)
        ]

    async def _send(self, request: HttpRequest, host_name: str) -> HttpReply:
        kind = self.deployment.kind_by_name[request.path.split('/')[1]]
        self.retry_budget.record_request(kind.service, self.scenario_time_s)
        host = self._host_by_name[host_name]
        return await host.node.entry.handle(request, RemoteAddress(host_name))

    def _make_host(self, service: Service, number: int) -> Host:
        domain = f'fd-{number % self.deployment.domains + 1}'
        name = f'{domain}/{service.name}-{number + 1}'
        speed = service.speeds[number % len(service.speeds)]
        server = EmulatedServer(
            service,
            speed,
            self.deployment.kind_by_name,
            self._rng,
        )
        node = ForwardingNode(
            Member(name, name, _REGION, domain, 1),
            _make_options(service, self.deployment.budget_slack),
            ForwardingPorts(
                self._clock,
                EmulatedDialer(self.network, name),
                self._store,
                lambda _: self._route_policy,
                self.counters,
                random.Random(self._rng.random()),
                lambda _clock, _address: EmulatedPool(server),
            ),
        )
        host = Host(name, domain, node, server)
        self.network.host_by_address[name] = host
        self._connect_server(host)
        return host

    def _connect_server(self, host: Host) -> None:
        """Route the server's nested calls, and record its requests."""
        server = host.server
        serve = server.serve
        retried_ids: set[str] = set()

        async def serve_and_record(request: HttpRequest) -> HttpResponse:
            request_id = header_of(request.headers, HEADER_NAMES.request_id)
            service = server.service.name
            is_retry = self.retry_budget.record_arrival(
                service,
                request_id,
                self.scenario_time_s,
            )
            if is_retry:
                retried_ids.add(request_id)
            return await serve(request)

        async def send_nested_call(
            kind: Kind, parent_id: str, deadline_s: float
        ) -> int:
            request_id = f's{next(self._call_numbers)}'
            if parent_id in retried_ids:
                self.retry_budget.record_nested_retry(request_id)
            return await self._send_nested_call(
                host,
                kind,
                request_id,
                deadline_s,
            )

        server.serve = serve_and_record
        server.send_nested_call = send_nested_call

    async def _send_nested_call(
        self,
        host: Host,
        kind: Kind,
        request_id: str,
        deadline_s: float,
    ) -> int:
        now_s = asyncio.get_running_loop().time()
        share = self._rng.uniform(*CALL_DEADLINE_SHARE_RANGE)
        remaining_ms = min(
            (deadline_s - now_s) * MS_PER_SECOND,
            kind.deadline_ms * share,
        )
        request = make_request(kind, request_id, remaining_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                return (await self._send(request, host.name)).status
        return 0

    async def _announce_servers(self) -> None:
        for sequence in itertools.count(1):
            for host in self.hosts:
                if not host.server.is_down:
                    host.node.local_server.announce(
                        _make_announcement(host, sequence),
                    )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _apply_events_regularly(self) -> None:
        while True:
            self._apply_events()
            await asyncio.sleep(EVENT_CHECK_INTERVAL_S)

    def _apply_events(self) -> None:
        partitions = self._active_events('cut')
        self.network.isolated_domains = {event.where for event in partitions}
        for service in self.deployment.service_by_name.values():
            hosts = [
                host for host in self.hosts if host.server.service is service
            ]
            for index, host in enumerate(hosts):
                self._apply_faults(host.server, index, len(hosts))

    def _apply_faults(
        self,
        server: EmulatedServer,
        index: int,
        server_count: int,
    ) -> None:
        server.clear_faults()
        time_s = self.scenario_time_s
        for event in self.scenario.events:
            is_affected = index < max(round(event.share * server_count), 1)
            if event.where == server.service.name and event.is_active(time_s):
                if is_affected:
                    _inject_fault(server, event)


def _inject_fault(server: EmulatedServer, event: Event) -> None:
    match event.effect:
        case 'slow':
            server.slowdown = event.strength
        case 'shed':
            server.shed_share = event.strength
        case 'fail':
            server.fail_share = event.strength
        case 'crash':
            server.is_down = True
        case 'hang':
            server.is_hanging = True


def _make_policy(deployment: Deployment) -> RoutePolicy:
    routes = [
        Route(
            name=kind.name,
            host=EMULATION_HOST,
            path_prefix=f'/{kind.name}/',
            is_idempotent=kind.is_idempotent,
            timeout_ms=kind.timeout_ms,
            level=kind.level,
            max_servers=kind.max_servers,
            split=(WeightedService(kind.service, 1),),
        )
        for kind in deployment.kind_by_name.values()
    ]
    services = {
        name: ServicePolicy(name) for name in deployment.service_by_name
    }
    return RoutePolicy(1, tuple(routes), services, _CALLER_LIMITS)


def _make_options(service: Service, slack: float) -> ForwardingOptions:
    return ForwardingOptions(
        service=service.name,
        lease_ms=3 * ANNOUNCE_INTERVAL_S * MS_PER_SECOND,
        retry=RetryBudgetOptions.within(
            MAX_RETRY_RATIO, WINDOW_S * MS_PER_SECOND, slack
        ),
        stop=_STOP_TIMES,
        is_first_start=True,
    )


def _make_announcement(host: Host, sequence: int) -> Announcement:
    service = host.server.service
    return Announcement(
        instance=f'i-{host.name}',
        process_start_ms=1,
        sequence=sequence,
        address=host.name,
        service=service.name,
        slots=service.slots,
        is_draining=False,
        remaining_slow_start_ms=0,
    )
