"""Forwarding node: entry, gateway and all that they share.

It is the counterpart of :class:`bergamotmount.node.Node` for callers that
speak plain HTTP to a host and path. Membership, links, admission, thresholds
and routing are the same parts.
"""

import asyncio

from bergamotmount import events
from bergamotmount.admission import Admission
from bergamotmount.forwarding.directory import Directory
from bergamotmount.forwarding.entry import Entry, EntryDependencies
from bergamotmount.forwarding.gateway import Gateway, GatewayDependencies
from bergamotmount.forwarding.httpconnection import (
    HttpLimits,
)
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.forwarding.needs import DownstreamServices
from bergamotmount.forwarding.options import ForwardingOptions, ForwardingPorts
from bergamotmount.forwarding.ownserver import OwnServer
from bergamotmount.forwarding.placement import LatencyRouter
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.forwarding.retrybudget import ServiceRetryBudget
from bergamotmount.forwarding.runs import ActiveRequests
from bergamotmount.heartbeats import Heartbeats
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.link import LinkPool
from bergamotmount.log import part_logger
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.messages import (
    Call,
    Heartbeat,
    Message,
    PolicyFetch,
    PolicyState,
)
from bergamotmount.ports import Lost
from bergamotmount.ports import Reply as PeerReply
from bergamotmount.reasons import DropReason
from bergamotmount.serving import PeerServer
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView

#: How often leases, links and slow callers are looked at.
CHECK_MS = 200

#: Share of a server's slots kept free: some slow down when nearly full.
SLOT_HEADROOM = 0.06

#: How often a stopping node looks whether it is done.
STOP_CHECK_MS = 50

#: Time that peers get to learn of a departure before the node closes.
LEAVE_NOTICE_MS = 50

#: Time that the store gets to take the own address back.
WITHDRAW_MS = 300

_log = part_logger('node')


class ForwardingNode:
    """Everything that runs beside one backend server."""

    def __init__(
        self,
        own: Member,
        options: ForwardingOptions,
        ports: ForwardingPorts,
    ) -> None:
        """Put the parts together; nothing runs before :meth:`start`."""
        self.ports = ports
        self.options = options
        clock, rng = ports.clock, ports.rng
        self.members = Members(clock, own)
        self.view = ThresholdView(clock)
        self.needs = DownstreamServices(clock)
        self.runs = ActiveRequests(clock, rng)
        self.links = LinkPool(
            clock,
            ports.dialer,
            ports.counters,
            self._receive_on_link,
        )
        self.router = LatencyRouter(
            clock,
            self.members,
            rng,
            self.links.is_suspect,
        )
        self.heartbeats = Heartbeats(
            clock,
            self.members,
            self.links,
            (),
            rng,
            options.heartbeat,
            self._prepare,
        )
        self.policy = RoutePolicySource(
            clock,
            ports.store,
            ports.parser,
            rng,
            self._on_policy,
        )
        self.directory = Directory(clock, ports.store, self.members, rng)
        self.own_server = OwnServer(
            clock,
            options.lease_ms,
            self.members,
            self.heartbeats.disseminate,
        )
        self._build_roles()
        self.own_server.guard(self.gateway, self.admission)
        self.is_stopping = False
        self._tasks: list[asyncio.Task] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.policy.table is not None and not self.is_stopping

    def start(self) -> None:
        """Start the tasks of the node in the running event loop."""
        events.member_changed.connect(
            self._on_member_changed,
            sender=self.heartbeats,
        )
        self._tasks = [
            asyncio.create_task(self.heartbeats.run()),
            asyncio.create_task(self.policy.run()),
            asyncio.create_task(self.directory.run(self.heartbeats.add_seeds)),
            asyncio.create_task(self._check_regularly()),
        ]

    async def stop(self) -> None:
        """Stop gracefully: requests in flight get their answers."""
        clock = self.ports.clock
        stop = self.options.stop
        started_ms = clock.now_ms()
        self.is_stopping = True
        self.callers.close_gently()
        self.own_server.lifecycle.drain()
        await clock.sleep(stop.notice_ms)
        self.callers.stop_listening()
        self.callers.close_idle()
        while self._is_busy():
            if clock.now_ms() - started_ms > stop.longest_ms:
                break
            await clock.sleep(STOP_CHECK_MS)
        self.heartbeats.disseminate(self.members.announce(MemberState.LEFT))
        self.heartbeats.send_final_updates()
        await self._withdraw()
        await clock.sleep(LEAVE_NOTICE_MS)
        self.close()

    def close(self) -> None:
        """Stop at once, without a word to anybody."""
        for task in self._tasks:
            task.cancel()
        self.callers.close()
        self.links.close()

    def receive(self, message: Message) -> list[Message]:
        """Take a message that is no call and return the messages to answer."""
        match message:
            case Heartbeat():
                return self._receive_heartbeat(message)
            case PolicyFetch():
                return self.policy.serve(message)
            case PolicyState():
                self.policy.take_state(message)
        return []

    async def call(self, server: Member, call: Call) -> PeerReply:
        """Carry a call to a server's node, directly if that is this node."""
        if server.node != self.members.local_node:
            return await self.links.call(server, call)
        try:
            async with self.ports.clock.timeout(call.remaining_ms):
                return await self.gateway.handle(call)
        except TimeoutError:
            return Lost(by_deadline=True)

    def own_service(self) -> str:
        """Return the service whose server runs on this host."""
        process = self.gateway.process
        return self.options.service if process is None else process.service

    async def _withdraw(self) -> None:
        try:
            async with self.ports.clock.timeout(WITHDRAW_MS):
                await self.directory.withdraw()
        except TimeoutError:
            _log.info('Own address not removed: the store is slow.')

    def _build_roles(self) -> None:
        clock, rng = self.ports.clock, self.ports.rng
        counters = self.ports.counters
        service_time = ServiceTime(clock)
        limit = ConcurrencyLimit(clock, SLOT_HEADROOM)
        self.controller = ThresholdController(
            clock,
            limit,
            service_time,
            self.heartbeats.send_now,
        )
        self.admission = Admission(
            clock,
            limit,
            service_time,
            self.controller,
            rng,
        )
        self.gateway = Gateway(
            clock,
            self.members.local_node,
            GatewayDependencies(
                self.own_server.lifecycle,
                self.admission,
                self.controller,
                self.runs,
                self.view,
                self._needs_of,
            ),
            self.options.names,
            counters,
            self.ports.pool_factory,
        )
        self.entry = Entry(
            clock,
            EntryDependencies(
                self.router,
                self.runs,
                self.view,
                self.needs,
                self._table,
                self.call,
                self.own_service,
                self._new_retries,
            ),
            self.options.names,
            counters,
            rng,
        )
        self.callers = HttpServer(
            clock,
            self.entry.handle,
            HttpLimits(),
            self._on_malformed,
        )
        self.peer_server = PeerServer(
            self.gateway.handle,
            self.receive,
            counters,
        )

    def _on_malformed(self, reason: str) -> None:
        self.ports.counters.dropped(DropReason.MALFORMED_REQUEST)
        _log.info('Malformed request: {}.', reason)

    def _table(self):
        return self.policy.table

    def _needs_of(self, route: str) -> list[str]:
        """Return the services that runs of a route lead to."""
        needed: dict[str, None] = {}
        for callee in self.runs.call_graph.callees(route):
            needed.update(dict.fromkeys(self.policy.services_of(callee)))
            needed.update(dict.fromkeys(self.needs.services_of(callee)))
        return list(needed)

    def _new_retries(self) -> ServiceRetryBudget:
        return ServiceRetryBudget(self.ports.clock, self.options.retry)

    def _on_policy(self) -> None:
        policy = self.policy.table.policy
        self.entry.split_picker.keep_only(policy.routes)
        limits = policy.limits
        self.callers.limits = HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        self.heartbeats.send_now()

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> list[Message]:
        replies: list[Message] = list(self.heartbeats.receive(heartbeat))
        if heartbeat.members:
            sender = heartbeat.members[0]
            if sender.service:
                self.router.record_load(sender.node, heartbeat.load_permille)
            for service, report in heartbeat.thresholds.items():
                self.view.record_relayed(service, report)
        replies.extend(self.policy.behind(heartbeat.policy_offset))
        return replies

    def _receive_on_link(self, address: str, message: Message) -> None:
        for reply in self.receive(message):
            self.links.send(address, reply)

    def _prepare(self, heartbeat: Heartbeat) -> None:
        heartbeat.policy_offset = self.policy.version
        heartbeat.threshold = self.controller.current()
        heartbeat.thresholds = self.view.restricted()
        heartbeat.load_permille = self.admission.load_permille

    def _on_member_changed(self, _sender: object, member: Member) -> None:
        _log.info(
            'Member {} is {}, incarnation {}, version {}.',
            member.node,
            member.state.name.lower(),
            member.incarnation,
            member.version,
        )
        if not member.is_routable:
            self.view.forget(member.node)
        if member.state is MemberState.LEFT:
            self.router.forget(member.node)

    async def _check_regularly(self) -> None:
        while True:
            await self.ports.clock.sleep(CHECK_MS)
            self.own_server.check()
            self.links.close_idle()
            self.gateway.close_idle()
            self.callers.check_timeouts()

    def _is_busy(self) -> bool:
        return bool(
            self.callers.requests_open
            or self.peer_server.active_calls
            or self.admission.in_flight
        )
