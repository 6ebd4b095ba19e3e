"""Fakes of the ports of a node, and a simulation of several nodes.

The network, the backend server, the log and the clock are replaced, so that
complete nodes run in one process under virtual time.
"""

import asyncio
import dataclasses
import json
import random
from collections import Counter
from collections.abc import Callable

from bergamotmount.acceptance import AcceptedState
from bergamotmount.clock import MS_PER_SECOND, LoopClock
from bergamotmount.counters import Counters
from bergamotmount.distribution import DistributionTimes
from bergamotmount.messages import Call, Message
from bergamotmount.node import Node, NodeIdentity, NodeOptions, NodePorts
from bergamotmount.outcomes import Answered, NotRun
from bergamotmount.ports import (
    ChannelError,
    ServerLost,
    ServerReply,
    ServerShed,
)
from bergamotmount.request import Request
from bergamotmount.tests.fakelog import FakeLog, FakeLogView

TICKET_KEY = 'a-ticket-key-for-tests'
ONE_WAY_LATENCY_MS = 1.5


class FakeClock(LoopClock):
    """Loop clock whose ``sleep`` returns only while the host isn't frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def sleep(self, duration_ms: float) -> None:
        await super().sleep(duration_ms)
        await self.thawed.wait()


class RecordingCounters(Counters):
    """Counters that store each count by its reason, for assertions.

    ``on_step`` is called when a request is admitted.
    """

    def __init__(self, on_step: Callable[[str], None] = lambda _: None) -> None:
        self.counts: Counter = Counter()
        self._on_step = on_step

    def admitted(self, service) -> None:
        self._on_step('admitted')
        self.counts['admitted'] += 1

    def denied(self, reason) -> None:
        self.counts[reason] += 1

    def refused(self, role, reason) -> None:
        self.counts[role, reason] += 1

    def unknown(self, role, reason) -> None:
        self.counts[role, reason] += 1

    def retried(self, reason) -> None:
        self.counts['retried'] += 1
        self.counts[reason] += 1

    def not_retried(self, reason) -> None:
        self.counts[reason] += 1

    def dropped(self, reason) -> None:
        self.counts[reason] += 1


class FakeChannel:
    """One end of a connection between two nodes.

    While ``is_silent`` is set, messages sent from this end are lost without
    an error, and the other end doesn't learn that this end was closed.
    """

    def __init__(self, network: 'FakeNetwork', local: str, peer: str) -> None:
        self.network = network
        self.local = local
        self.peer = peer
        self.remote_end: FakeChannel | None = None
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.is_closed = False
        self.is_silent = False

    def send(self, message: Message) -> None:
        if self.is_closed:
            raise ChannelError('channel is closed')
        self.network.transmit(self, message)

    async def receive(self) -> Message:
        message = await self.inbox.get()
        await self.network.wait_thawed(self.local)
        if message is None:
            self.is_closed = True
            raise ChannelError('channel was ended by the peer')
        return message

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.inbox.put_nowait(None)
            if not self.is_silent and not self.network.is_partitioned(
                self.local, self.peer
            ):
                self.remote_end.inbox.put_nowait(None)


class FakeNetwork:
    """Network between nodes, with faults that a test injects.

    ``partitions`` holds pairs of source and target between which messages are
    lost. ``change_deliveries`` gets a message and its deliveries, which are
    pairs of a delay in milliseconds and a message, and returns the deliveries
    to make instead.
    """

    def __init__(self, on_step: Callable[[str, Message], None]) -> None:
        self.host_by_address: dict[str, 'FakeHost'] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.channels: list[FakeChannel] = []
        self.change_deliveries: Callable | None = None
        self.extra_latency_ms: float = 0
        self._on_step = on_step

    def is_partitioned(self, source: str, target: str) -> bool:
        return (source, target) in self.partitions

    def partition(self, source: str, target: str) -> None:
        self.partitions.add((source, target))

    async def wait_thawed(self, name: str) -> None:
        host = self.host_by_address.get(name)
        if host is not None:
            await host.clock.thawed.wait()

    async def open(self, source: str, target: str) -> FakeChannel:
        if self.is_partitioned(source, target) or self.is_partitioned(
            target, source
        ):
            await asyncio.sleep(60)
        await asyncio.sleep(2 * ONE_WAY_LATENCY_MS / MS_PER_SECOND)
        host = self.host_by_address.get(target)
        if host is None or not host.is_alive:
            raise ChannelError('connection refused')
        dialer_end = FakeChannel(self, source, target)
        listener_end = FakeChannel(self, target, source)
        dialer_end.remote_end, listener_end.remote_end = (
            listener_end,
            dialer_end,
        )
        self.channels.extend((dialer_end, listener_end))
        host.serve(listener_end)
        return dialer_end

    def transmit(self, channel: FakeChannel, message: Message) -> None:
        self._on_step(f'sent {type(message).__name__}', message)
        deliveries = [(ONE_WAY_LATENCY_MS + self.extra_latency_ms, message)]
        if self.change_deliveries is not None:
            deliveries = self.change_deliveries(message, deliveries)
        loop = asyncio.get_running_loop()
        for delay_ms, delivered in deliveries:
            delay_s = delay_ms / MS_PER_SECOND
            loop.call_later(delay_s, self._deliver, channel, delivered)

    def _deliver(self, channel: FakeChannel, message: Message) -> None:
        remote_end = channel.remote_end
        lost = (
            self.is_partitioned(channel.local, channel.peer)
            or channel.is_silent
            or remote_end.is_closed
        )
        if not lost:
            self._on_step(f'arrived {type(message).__name__}', message)
            remote_end.inbox.put_nowait(message)


@dataclasses.dataclass(frozen=True)
class FakeDialer:
    """Dialer that opens channels from one host over the fake network."""

    network: FakeNetwork
    local: str

    async def open(self, address: str) -> FakeChannel:
        return await self.network.open(self.local, address)


@dataclasses.dataclass
class ExecutionLog:
    """Executions at all backend servers, by the key of the request.

    ``interrupted`` holds pairs of host and key, ``start_times`` pairs of host
    and start time in milliseconds.
    """

    started: Counter = dataclasses.field(default_factory=Counter)
    finished: Counter = dataclasses.field(default_factory=Counter)
    interrupted: list = dataclasses.field(default_factory=list)
    start_times: list = dataclasses.field(default_factory=list)


class FakeServer:
    """Backend server that records each execution under the request's body.

    ``callees`` maps an operation to the ``service/operation`` that it calls.
    """

    def __init__(self, host: 'FakeHost', execution_log: ExecutionLog) -> None:
        self.host = host
        self.execution_log = execution_log
        self.service_ms: float = 20
        self.sheds = False
        self.loses_answers = False
        self.callees: dict[str, str] = {}

    async def run(self, call: Call, parent: str, remaining_ms) -> ServerReply:
        await self.host.clock.thawed.wait()
        if self.sheds:
            return ServerShed()
        key = call.body.decode()
        self.execution_log.started[key] += 1
        self.execution_log.start_times.append(
            (self.host.name, self.host.clock.now_ms())
        )
        self.host.report_step('dispatched', call)
        try:
            return await self._execute(call, parent, key)
        except asyncio.CancelledError:
            self.execution_log.interrupted.append((self.host.name, key))
            raise

    async def _execute(self, call: Call, parent: str, key: str) -> ServerReply:
        await self.host.clock.sleep(self.service_ms / 2)
        self.host.report_step('running', call)
        callee = self.callees.get(call.operation)
        if callee is not None:
            service, _, operation = callee.partition('/')
            child_key = f'{key}/{operation}'
            outcome = await self.host.node.egress.call(
                Request(
                    service, operation, body=child_key.encode(), parent=parent
                ),
            )
            if not isinstance(outcome, Answered):
                return Answered(502, [], b'failed')
            if outcome.body != child_key.encode():
                return Answered(500, [], b'answer to another request')
        await self.host.clock.sleep(self.service_ms / 2)
        self.host.report_step('answered', call)
        self.execution_log.finished[key] += 1
        return (
            ServerLost()
            if self.loses_answers
            else Answered(200, [], key.encode())
        )


class FakeHost:
    """A host with its node and its backend server; it can be restarted.

    Each start creates a new node with the next incarnation.
    """

    def __init__(
        self, simulation: 'Simulation', name: str, service: str, domain: str
    ):
        self.simulation = simulation
        self.name = name
        self.service = service
        self.domain = domain
        self.incarnation = 0
        self.is_alive = False
        self.log = FakeLogView(simulation.log)
        self.tasks: set[asyncio.Task] = set()

    def report_step(self, name: str, message: object = None) -> None:
        self.simulation.report_step(name, self, message)

    def start(self, slots: int = 4) -> None:
        self.incarnation += 1
        self.is_alive = True
        self.clock = FakeClock()
        self.counters = RecordingCounters(self.report_step)
        self.server = FakeServer(self, self.simulation.execution_log)
        self.server.callees = self.simulation.callees
        identity = NodeIdentity(
            self.name,
            self.name,
            'region',
            self.domain,
            self.incarnation,
        )
        seed = f'{self.simulation.seed} {self.name} {self.incarnation}'
        ports = NodePorts(
            self.clock,
            FakeDialer(self.simulation.network, self.name),
            self.log,
            self.server,
            self.counters,
            random.Random(seed),
        )
        options = NodeOptions(
            TICKET_KEY,
            self.simulation.seeds,
            60_000,
            distribution=DistributionTimes(checkpoint_ms=20_000),
        )
        self.node = Node(identity, options, ports)
        self.simulation.network.host_by_address[self.name] = self
        pick = self.node.router.pick

        def traced_pick(service, tried):
            self.report_step('context made')
            server = pick(service, tried)
            self.report_step('routed')
            return server

        self.node.router.pick = traced_pick
        self.node.start()
        self.node.announce_server(self.service, slots, cold=False)
        self.spawn(self._renew_lease())

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def serve(self, channel: FakeChannel) -> None:
        self.spawn(self.node.peer_server.serve(channel))

    def kill(self) -> None:
        self.is_alive = False
        self.node.close()
        for task in list(self.tasks):
            task.cancel()
        for channel in self.simulation.network.channels:
            if channel.local == self.name:
                channel.close()

    def freeze(self) -> None:
        self.clock.thawed.clear()

    def thaw(self) -> None:
        self.clock.thawed.set()

    async def _renew_lease(self) -> None:
        while True:
            await asyncio.sleep(1)
            if self.clock.thawed.is_set() and not self.node.is_stopping:
                self.node.renew_server()


class Simulation:
    """Hosts of one deployment, with their network and the log.

    ``on_step`` is called at each step of a request, with the name of the step,
    the host if the step belongs to one, and the message if there is one.
    """

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.execution_log = ExecutionLog()
        self.log = FakeLog()
        self.network = FakeNetwork(self._report_network_step)
        self.host_by_name: dict[str, FakeHost] = {}
        self.callees: dict[str, str] = {}
        self.on_step: Callable[[str, FakeHost | None, object], None] | None = (
            None
        )
        self.seeds: tuple[str, ...] = ()

    def report_step(
        self, name: str, host: FakeHost | None, message: object
    ) -> None:
        if self.on_step is not None:
            self.on_step(name, host, message)

    def _report_network_step(self, name: str, message: Message) -> None:
        self.report_step(name, None, message)

    def add_host(self, name: str, service: str, domain: str) -> FakeHost:
        host = FakeHost(self, name, service, domain)
        self.host_by_name[name] = host
        return host

    async def publish(self, *documents: dict) -> None:
        for document in documents:
            raw = json.dumps(document).encode()
            await self.log.append('policy', raw)

    async def settle(self, duration_s: float = 4) -> None:
        await asyncio.sleep(duration_s)

    def close(self) -> None:
        for host in self.host_by_name.values():
            host.thaw()
            host.kill()


def record(
    subject: str, body: dict, based_on: int | None = None, **overrides
) -> dict:
    """Return a policy record.

    Without ``record_id``, the id is derived from the subject, ``based_on`` and
    the schema.
    """
    schema = overrides.get('schema', 2)
    record_id = overrides.get('record_id') or f'{subject}-{based_on}-{schema}'
    return {
        'schema': schema,
        'id': record_id,
        'subject': subject,
        'based_on': based_on,
        'body': body,
    }


def operation(level: int = 1, idempotent: bool = True, *callees: str) -> dict:
    """Return the description of an operation in policy schema 2."""
    return {
        'level': level,
        'idempotent': idempotent,
        'callees': list(callees),
        'timeout_ms': 2000,
    }


def state_of(*documents: dict) -> AcceptedState:
    """Return the accepted state after records at offsets from 0 on."""
    state = AcceptedState()
    for offset, document in enumerate(documents):
        state.apply(offset, json.dumps(document).encode())
    return state


def is_not_run(outcome) -> bool:
    """Whether the outcome is "not run"."""
    return isinstance(outcome, NotRun)
