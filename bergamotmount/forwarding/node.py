"""Forwarding node: entry, gateway and the components that they share.

It is the counterpart of :class:`bergamotmount.node.Node` for callers that
send plain HTTP requests to a host and path. Both kinds of node use the same
components for membership, links, admission, thresholds and routing.
"""

import asyncio

from bergamotmount import events
from bergamotmount.admission import Admission
from bergamotmount.forwarding.nodereports import NodeReports
from bergamotmount.forwarding.activerequests import ActiveRequests
from bergamotmount.forwarding.announcements import Announcement
from bergamotmount.forwarding.crashpublisher import CrashPublisher
from bergamotmount.forwarding.directory import Directory
from bergamotmount.forwarding.downstreamservices import DownstreamServices
from bergamotmount.forwarding.entry import (
    BAD_GATEWAY,
    Entry,
    EntryDependencies,
)
from bergamotmount.forwarding.gateway import Gateway, GatewayDependencies
from bergamotmount.forwarding.healthcheck import Health, HealthChecker
from bergamotmount.forwarding.httpconnection import HttpLimits
from bergamotmount.forwarding.httpserver import HttpServer, ServerBounds
from bergamotmount.forwarding.latencyrouter import LatencyRouter
from bergamotmount.forwarding.localserver import LocalServer
from bergamotmount.forwarding.options import ForwardingOptions, ForwardingPorts
from bergamotmount.forwarding.policyaccess import PolicyAccess
from bergamotmount.forwarding.quarantine import Quarantine
from bergamotmount.forwarding.retrybudget import (
    ServiceRetryBudget,
    has_slack_share,
)
from bergamotmount.forwarding.sender import Sender, SenderDependencies
from bergamotmount.heartbeats import Heartbeats
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.linkpool import (
    LinkPool,
)
from bergamotmount.log import part_logger
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.messages import (
    Call,
    Heartbeat,
    Message,
    PolicyFetch,
    PolicyState,
    QuotaGrant,
    QuotaRequest,
)
from bergamotmount.organisations.quotas import Quotas
from bergamotmount.ports import Lost, Reply as PeerReply
from bergamotmount.reasons import DropReason
from bergamotmount.serving import PeerServer
from bergamotmount.shedlog import ShedLog
from bergamotmount.supervision import keep_running
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView

#: Interval at which leases, idle links and caller timeouts are checked.
CHECK_INTERVAL_MS = 200

#: Share of a server's slots kept free, because some servers slow down when
#: they are nearly full.
SLOT_HEADROOM = 0.06

#: Interval at which a stopping node checks for requests in flight.
STOP_CHECK_INTERVAL_MS = 50

#: Time for the last heartbeats to reach the peers before the node closes.
LEAVE_NOTICE_MS = 50

#: Timeout for removing the node's entry from the store.
WITHDRAW_TIMEOUT_MS = 300

_log = part_logger('node')


class ForwardingNode:
    """Forwarding node beside one backend server."""

    def __init__(
        self,
        local_member: Member,
        options: ForwardingOptions,
        ports: ForwardingPorts,
    ) -> None:
        """Assemble the components; no task runs before :meth:`start`."""
        self.ports = ports
        self.options = options
        clock, rng = ports.clock, ports.rng
        self._shed_log = ShedLog(clock, ports.account, ports.counters)
        self.members = Members(clock, local_member)
        self.threshold_view = ThresholdView(clock)
        self.downstream_services = DownstreamServices(clock)
        self.active_requests = ActiveRequests(clock, rng)
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
            self._fill_heartbeat,
        )
        self.quarantine = Quarantine(
            clock,
            rng,
            self.heartbeats.send_now,
            self._may_probe,
        )
        self._policy_access = PolicyAccess(
            options, ports, self._on_policy, self.heartbeats.send_reports
        )
        store = self._policy_access.store
        self.policy_source = self._policy_access.source
        self.directory = Directory(
            clock,
            store,
            self.members,
            rng,
            self.quarantine.poison_requests.learn,
            self._policy_access.settlement,
            options.is_first_start,
        )
        self._quotas = Quotas(
            clock,
            self.members,
            lambda: self.directory.has_read,
            self.links,
            options.quota,
            self.policy_source.organisation_by_name,
        )
        self._crash_publisher = CrashPublisher(
            clock, store, self.quarantine.poison_requests, rng
        )
        self._health_checker = HealthChecker(
            clock, ports.pool_factory, options.header_names
        )
        self.local_server = LocalServer(
            clock,
            options.lease_ms,
            self.members,
            self.heartbeats.disseminate,
            self._check_health,
        )
        self._build_roles()
        self.local_server.attach(self.gateway, self.admission)
        if not options.is_first_start:
            self.local_server.require_confirmation()
        self._export_values()
        self.is_stopping = False
        self._tasks: list[asyncio.Task] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers should be directed to this node."""
        return self.policy_source.table is not None and not self.is_stopping

    def start(self) -> None:
        """Start the node's tasks in the running event loop."""
        events.member_changed.connect(
            self._on_member_changed,
            sender=self.heartbeats,
        )
        tasks = (
            self.heartbeats.run,
            self.policy_source.run,
            self._policy_access.verifier.run,
            self._policy_access.watch.run,
            self._follow_directory,
            self._crash_publisher.run,
            self._run_periodic_checks,
        )
        self._tasks = [
            asyncio.create_task(keep_running(self.ports.clock, run))
            for run in tasks
        ]

    async def stop(self) -> None:
        """Stop gracefully: finish requests in flight, then leave the peers.

        Requests that arrive after the notice, on connections that are still
        open, are refused. ``max_drain_ms`` of the options bounds the wait for
        the others; those without a reply by then get a final one.
        """
        clock = self.ports.clock
        stop = self.options.stop
        started_ms = clock.now_ms()
        self.is_stopping = True
        self.caller_server.disable_keep_alive()
        self.local_server.stop()
        await clock.sleep(stop.notice_ms)
        self.entry.refuse_new(stop.max_drain_ms - stop.notice_ms)
        self.caller_server.stop_listening()
        self.caller_server.close_idle()
        while self._has_pending_requests():
            if clock.now_ms() - started_ms > stop.max_drain_ms:
                break
            await clock.sleep(STOP_CHECK_INTERVAL_MS)
        self.caller_server.answer_pending(BAD_GATEWAY)
        self.heartbeats.disseminate(self.members.announce(MemberState.LEFT))
        self.heartbeats.send_final_updates()
        await self._withdraw()
        await clock.sleep(LEAVE_NOTICE_MS)
        self.close()

    def close(self) -> None:
        """Stop immediately, without informing peers or callers."""
        for task in self._tasks:
            task.cancel()
        self.caller_server.close()
        self.links.close()

    def receive(self, message: Message) -> list[Message]:
        """Process a message other than a call; return the replies to it."""
        match message:
            case Heartbeat():
                replies: list[Message] = list(self.heartbeats.receive(message))
                return replies + self._reports.learn(message)
            case PolicyFetch():
                return self.policy_source.answer_fetch(message)
            case PolicyState():
                self.policy_source.install_state(message)
            case QuotaRequest() | QuotaGrant():
                return self._quotas.receive(message)
        return []

    async def call(self, server: Member, call: Call) -> PeerReply:
        """Send a call to a server's node; run it here if that is this node."""
        if server.node != self.members.local_node:
            return await self.links.call(server, call)
        try:
            async with self.ports.clock.timeout(call.remaining_ms):
                return await self.gateway.handle(call)
        except TimeoutError:
            return Lost(by_deadline=True)

    def local_service(self) -> str:
        """Return the service of the backend server on this host."""
        process = self.gateway.process
        return self.options.service if process is None else process.service

    async def _check_health(self, announcement: Announcement) -> Health | None:
        try:
            async with self.ports.clock.timeout(self.options.lease_ms):
                table = await self.policy_source.first_table()
        except TimeoutError:
            return None
        service = table.policy.service_by_name.get(announcement.service)
        if service is None:
            return None
        return await self._health_checker.check(
            announcement.address, service.health_path
        )

    async def _withdraw(self) -> None:
        try:
            async with self.ports.clock.timeout(WITHDRAW_TIMEOUT_MS):
                await self.directory.withdraw()
        except TimeoutError:
            _log.info('Failed to remove own entry from the store: timeout.')

    def _build_roles(self) -> None:
        clock, rng = self.ports.clock, self.ports.rng
        counters = self.ports.counters
        service_time = ServiceTime(clock)
        limit = ConcurrencyLimit(clock, SLOT_HEADROOM)
        self.threshold_controller = ThresholdController(
            clock,
            limit,
            service_time,
            self.heartbeats.send_now,
        )
        self.admission = Admission(
            clock,
            limit,
            service_time,
            self.threshold_controller,
            rng,
        )
        self._reports = NodeReports(
            self.policy_source,
            self._policy_access.watch,
            self.heartbeats.send_reports,
            self.threshold_controller,
            self.threshold_view,
            self.admission,
            self.router,
            self.active_requests.call_graph,
            self.quarantine.poison_requests,
        )
        self.gateway = Gateway(
            clock,
            GatewayDependencies(
                self.local_server.lifecycle,
                self.admission,
                self.threshold_controller,
                self.active_requests,
                self.threshold_view,
                self._downstream_services_of,
                self.local_server.leave,
                self.quarantine,
                lambda: self.policy_source.evidence,
            ),
            self.options.header_names,
            counters,
            self.ports.pool_factory,
        )
        sender = Sender(
            clock,
            SenderDependencies(
                self.router,
                self.threshold_view,
                self.downstream_services,
                self.call,
                self.local_service,
                self._new_retry_budget,
                self.quarantine.poison_requests,
                self._policy_access.freshness,
                self.policy_source.learn_evidence,
            ),
            self.options.header_names,
            counters,
            rng,
        )
        self.entry = Entry(
            clock,
            EntryDependencies(
                sender,
                self.active_requests,
                self.threshold_view,
                self.downstream_services,
                self._route_table,
                self._policy_access.caller_check,
                self._quotas,
                self._policy_access.watch,
            ),
            self.options.header_names,
            counters,
            rng,
        )
        self.caller_server = HttpServer(
            clock,
            self.entry.handle,
            HttpLimits(),
            self._on_malformed_request,
            self.entry.check_head,
            ServerBounds(
                self.ports.account,
                max_connections=self.options.limits.max_callers,
                on_overload=counters.dropped,
            ),
        )
        self.peer_server = PeerServer(
            self.gateway.handle,
            self.receive,
            counters,
            self.ports.account,
        )

    def _export_values(self) -> None:
        counters, freshness = self.ports.counters, self._policy_access.freshness
        counters.watch('policy_evidence_age_ms', lambda: freshness.age_ms)
        counters.watch('policy_version', lambda: self.policy_source.version)
        watch = self._policy_access.watch
        counters.watch('policy_check_age_ms', lambda: watch.age_ms)
        account = self.ports.account
        counters.watch('memory_held_bytes', lambda: account.held_bytes)
        counters.watch('memory_peak_bytes', lambda: account.peak_bytes)
        counters.watch('memory_limit_bytes', lambda: account.limit_bytes)
        counters.watch(
            'caller_connections', lambda: len(self.caller_server.connections)
        )
        counters.watch('quota_tokens_held', lambda: self._quotas.tokens_held)
        counters.watch(
            'quota_tokens_granted', lambda: self._quotas.tokens_granted
        )

    def _on_malformed_request(self, reason: str) -> None:
        self.ports.counters.dropped(DropReason.MALFORMED_REQUEST)
        _log.info('Malformed request: {}.', reason)

    def _route_table(self):
        return self.policy_source.table

    def _downstream_services_of(self, route: str) -> list[str]:
        """Return the services that requests of a route depend on."""
        services: dict[str, None] = {}
        for callee in self.active_requests.call_graph.callees(route):
            services.update(
                dict.fromkeys(self.policy_source.services_of(callee))
            )
            services.update(
                dict.fromkeys(self.downstream_services.services_of(callee))
            )
        return list(services)

    def _new_retry_budget(self) -> ServiceRetryBudget:
        return ServiceRetryBudget(
            self.ports.clock, self.options.retry, self._has_slack_share
        )

    def _has_slack_share(self) -> bool:
        members = self.members
        return has_slack_share(
            members.local_node,
            members.member_by_node,
            self.options.retry.slack,
        )

    def _may_probe(self) -> bool:
        """Whether this node probes quarantined requests of its service."""
        members = self.members
        prober = members.first_routable(members.local.service)
        return prober is not None and prober.node == members.local_node

    def _on_policy(self) -> None:
        policy = self.policy_source.table.policy
        self.entry.split_picker.keep_only(policy.routes)
        limits = policy.limits
        self.caller_server.limits = HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        self.heartbeats.send_now()

    def _receive_on_link(self, address: str, message: Message) -> None:
        for reply in self.receive(message):
            self.links.send(address, reply)

    def _fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._reports.fill(heartbeat)

    def _on_member_changed(self, _sender: object, member: Member) -> None:
        _log.info(
            'Member {} is {}, incarnation {}, version {}.',
            member.node,
            member.state.name.lower(),
            member.incarnation,
            member.version,
        )
        if not member.is_routable:
            self.threshold_view.forget(member.node)
        if member.state is MemberState.LEFT:
            self.router.forget(member.node)

    async def _follow_directory(self) -> None:
        await self.directory.run(self.heartbeats.disseminate)

    async def _run_periodic_checks(self) -> None:
        while True:
            await self.ports.clock.sleep(CHECK_INTERVAL_MS)
            self.local_server.check()
            self._quotas.check()
            self.links.check()
            self.gateway.close_idle()
            self.caller_server.check_timeouts()
            self.entry.decisions.flush()
            self.entry.totals.flush()
            self.gateway.decisions.flush()
            self.quarantine.decisions.flush()
            self._shed_log.decisions.flush()

    def _has_pending_requests(self) -> bool:
        return bool(
            self.caller_server.is_busy
            or self.peer_server.active_calls
            or self.admission.in_flight
        )
