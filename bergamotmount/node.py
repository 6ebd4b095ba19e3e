"""A node: egress, ingress and the objects they share, built on ports."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from bergamotmount import events
from bergamotmount.admission import Admission
from bergamotmount.attempts import EgressDependencies
from bergamotmount.clock import Clock
from bergamotmount.context import ActiveContexts
from bergamotmount.counters import Counters
from bergamotmount.distribution import DistributionTimes, PolicyDistribution
from bergamotmount.egress import Egress
from bergamotmount.entrycheck import EntryCheck
from bergamotmount.heartbeats import Heartbeats, HeartbeatTimes
from bergamotmount.ingress import Ingress, ServerRuntime
from bergamotmount.joining import LogJoin
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.linkpool import (
    LinkPool,
)
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.memoryaccount import MemoryAccount
from bergamotmount.messages import (
    Answer,
    Call,
    Heartbeat,
    Message,
    PolicyFetch,
    PolicyRecords,
    PolicyState,
)
from bergamotmount.ports import (
    BackendServer,
    Dialer,
    LogService,
    Lost,
    Reply,
)
from bergamotmount.repeatinglog import RepeatingLog
from bergamotmount.reasons import RefusalReason
from bergamotmount.routing import Router
from bergamotmount.serving import PeerServer
from bergamotmount.supervision import keep_running
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView
from bergamotmount.ticket import TicketSigner
from bergamotmount.ticketissuer import TicketIssuer
from bergamotmount.ticketstore import TicketStore

#: Interval at which the lease, the warm-up, waiting requests and idle links
#: are checked.
CHECK_INTERVAL_MS = 200

#: Interval at which a stopping node checks for requests in flight.
DRAIN_CHECK_INTERVAL_MS = 20

#: Time for the final updates to reach peers before the node closes its links.
LEAVE_NOTICE_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Identity of a node: name, addresses, location and incarnation."""

    node: str
    address: str
    region: str
    failure_domain: str
    incarnation: int
    admin: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NodeOptions:
    """Options of a node, apart from its identity."""

    ticket_key: str
    seeds: tuple[str, ...] = ()
    ticket_life_ms: int = 120_000
    heartbeat: HeartbeatTimes = HeartbeatTimes()
    distribution: DistributionTimes = DistributionTimes()


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """Ports through which a node reaches its environment."""

    clock: Clock
    dialer: Dialer
    log: LogService
    server: BackendServer
    counters: Counters
    rng: random.Random
    account: MemoryAccount = dataclasses.field(
        default_factory=lambda: MemoryAccount(Clock())
    )


class Node:
    """Egress, ingress and background tasks beside one backend server."""

    def __init__(
        self,
        identity: NodeIdentity,
        options: NodeOptions,
        ports: NodePorts,
    ) -> None:
        """Build all components; tasks only run after :meth:`start`."""
        self.identity = identity
        self.ports = ports
        clock, rng = ports.clock, ports.rng
        self.members = Members(clock, _local_member(identity))
        self.router = Router(clock, self.members, rng)
        self.threshold_view = ThresholdView(clock)
        self.links = LinkPool(
            clock,
            ports.dialer,
            ports.counters,
            self._receive_on_link,
        )
        self.heartbeats = Heartbeats(
            clock,
            self.members,
            self.links,
            options.seeds,
            rng,
            options.heartbeat,
            self._add_node_state,
        )
        self.distribution = PolicyDistribution(
            clock,
            RepeatingLog(clock, ports.log),
            self.members,
            rng,
            options.distribution,
            self.heartbeats.send_now,
        )
        self.join = LogJoin(clock, ports.log, self.members, rng)
        self.lifecycle = ServerLifecycle(clock, self._on_server_state)
        self._build_roles(options)
        self.is_stopping = False
        self._warmup_end_ms: float = 0
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the tasks of the node in the running event loop."""
        events.member_changed.connect(
            self._on_member_changed,
            sender=self.heartbeats,
        )
        tasks = (
            self.heartbeats.run,
            self.distribution.run,
            self._follow_join_stream,
            self._run_periodic_checks,
        )
        self._tasks = [
            asyncio.create_task(keep_running(self.ports.clock, run))
            for run in tasks
        ]

    async def drain(self) -> None:
        """Stop dispatching to the server and wait for requests in flight.

        Requests of callers are still accepted and routed to other servers.
        The wait is bounded by ``drain_ms`` of the policy.
        """
        self.is_stopping = True
        self.lifecycle.drain()
        self._announce(MemberState.DRAINING)
        await self._wait_while(self._has_server_requests)

    async def leave(self) -> None:
        """Wait for requests of callers, announce the departure, and close.

        Further requests, on connections that are still open, are refused.
        """
        self.egress.refuse_new()
        await self._wait_while(self._has_caller_requests)
        self._announce(MemberState.LEFT)
        self.heartbeats.send_final_updates()
        await self.ports.clock.sleep(LEAVE_NOTICE_MS)
        self.close()

    def close(self) -> None:
        """Stop immediately, without notice to peers or callers."""
        for task in self._tasks:
            task.cancel()
        self.links.close()

    def announce_server(self, service: str, slots: int, cold: bool) -> None:
        """Apply an announcement of the backend server or its renewal."""
        policy = self.distribution.policy.servers
        self.lifecycle.renew(policy.lease_ms)
        is_new = not self.lifecycle.is_accepting
        slow_start_ms = policy.slow_start_ms if cold and is_new else 0
        local = self.members.local
        self.runtime.admission.limit.update_slots(slots, slow_start_ms)
        if is_new:
            self._warmup_end_ms = self.ports.clock.now_ms() + slow_start_ms
        if is_new or (local.service, local.slots) != (service, slots):
            update = self.members.announce(MemberState.WARMING, service, slots)
            self.heartbeats.disseminate(update)
        self.lifecycle.announce()
        self.runtime.admission.admit_waiting()

    def renew_server(self) -> bool:
        """Renew the server's lease; return whether the server is known."""
        if self.lifecycle.state is ServerState.ABSENT:
            return False
        self.lifecycle.renew(self.distribution.policy.servers.lease_ms)
        return True

    def receive(self, message: Message) -> list[Message]:
        """Process a message other than a call and return the replies."""
        match message:
            case Heartbeat():
                return self._receive_heartbeat(message)
            case PolicyFetch():
                return self.distribution.answer_fetch(message)
            case PolicyRecords():
                self.distribution.apply_records(message)
            case PolicyState():
                self.distribution.install_state(message)
        return []

    async def call(self, server: Member, call: Call) -> Reply:
        """Send a call to a server's node, or handle it if that is this one."""
        if server.node != self.identity.node:
            return await self.links.call(server, call)
        try:
            async with self.ports.clock.timeout(call.remaining_ms):
                return await self.ingress.handle(call)
        except TimeoutError:
            return Lost(by_deadline=True)

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer."""
        self.links.send(address, message)

    async def handle_call(self, call: Call) -> Answer:
        """Handle a call from a peer."""
        return await self.ingress.handle(call)

    def _build_roles(self, options: NodeOptions) -> None:
        clock, rng = self.ports.clock, self.ports.rng
        signer = TicketSigner(options.ticket_key)
        entry_check = EntryCheck(self.threshold_view, self._policy, rng)
        service_time = ServiceTime(clock)
        limit = ConcurrencyLimit(clock)
        controller = ThresholdController(
            clock,
            limit,
            service_time,
            self.heartbeats.send_now,
        )
        self.runtime = ServerRuntime(
            self.ports.server,
            self.lifecycle,
            Admission(clock, limit, service_time, controller, rng),
            controller,
            TicketStore(clock, self.identity.incarnation),
            ActiveContexts(),
        )
        self.ingress = Ingress(
            clock,
            self.identity.node,
            self.runtime,
            signer,
            entry_check,
            self.ports.counters,
        )
        issuer = TicketIssuer(
            clock, self.router, signer, options.ticket_life_ms
        )
        deps = EgressDependencies(
            self.members,
            self.router,
            self,
            issuer,
            entry_check,
            self.threshold_view,
            self.runtime.active_contexts,
            self._policy,
        )
        self.issuer = issuer
        self.egress = Egress(clock, deps, self.ports.counters, rng)
        self.peer_server = PeerServer(
            self.handle_call,
            self.receive,
            self.ports.counters,
            self.ports.account,
        )

    def _policy(self):
        return self.distribution.policy

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> list[Message]:
        replies: list[Message] = list(self.heartbeats.receive(heartbeat))
        if heartbeat.members:
            self._record_load(heartbeat.members[0], heartbeat)
        replies.extend(
            self.distribution.fetch_if_behind(heartbeat.policy_offset)
        )
        return replies

    def _record_load(self, sender: Member, heartbeat: Heartbeat) -> None:
        if sender.service:
            self.router.record_load(sender.node, heartbeat.load_permille)
        for service, report in heartbeat.thresholds.items():
            self.threshold_view.record_relayed(service, report)

    def _receive_on_link(self, address: str, message: Message) -> None:
        for reply in self.receive(message):
            self.links.send(address, reply)

    def _add_node_state(self, heartbeat: Heartbeat) -> None:
        heartbeat.policy_offset = self.distribution.state.offset
        heartbeat.threshold = self.runtime.controller.threshold()
        heartbeat.thresholds = self.threshold_view.reports()
        heartbeat.load_permille = self.runtime.admission.load_permille

    def _on_server_state(self, state: ServerState) -> None:
        match state:
            case ServerState.SERVING:
                self._announce(MemberState.SERVING)
            case ServerState.DRAINING:
                self.runtime.admission.refuse_waiting(RefusalReason.DRAINING)
                self._announce(MemberState.DRAINING)
            case ServerState.ABSENT:
                self.runtime.admission.refuse_waiting(RefusalReason.NOT_SERVING)
                self._announce(MemberState.DRAINING)

    def _announce(self, state: MemberState) -> None:
        slots = self.runtime.admission.limit.slots
        self.heartbeats.disseminate(self.members.announce(state, slots=slots))

    def _on_member_changed(self, _sender: object, member: Member) -> None:
        if member.state is MemberState.LEFT:
            self.router.forget(member.node)

    async def _follow_join_stream(self) -> None:
        await self.join.run(self.heartbeats.add_seeds)

    async def _run_periodic_checks(self) -> None:
        while True:
            await self.ports.clock.sleep(CHECK_INTERVAL_MS)
            self.lifecycle.check_lease()
            self._end_warmup_if_due()
            self.runtime.admission.admit_waiting()
            self.links.check()

    def _end_warmup_if_due(self) -> None:
        if self.lifecycle.state is not ServerState.WARMING:
            return
        if self.ports.clock.now_ms() >= self._warmup_end_ms:
            self.lifecycle.end_warmup()

    def _has_server_requests(self) -> bool:
        active_calls = self.peer_server.active_calls
        return bool(self.runtime.admission.in_flight or active_calls)

    def _has_caller_requests(self) -> bool:
        return bool(self.egress.active_calls)

    async def _wait_while(self, is_busy: Callable[[], bool]) -> None:
        max_wait_ms = self.distribution.policy.servers.drain_ms
        try:
            async with self.ports.clock.timeout(max_wait_ms):
                while is_busy():
                    await self.ports.clock.sleep(DRAIN_CHECK_INTERVAL_MS)
        except TimeoutError:
            return


def _local_member(identity: NodeIdentity) -> Member:
    return Member(
        identity.node,
        identity.address,
        identity.region,
        identity.failure_domain,
        identity.incarnation,
        admin=identity.admin,
    )
