"""One run of the soak: deployment, callers, and faults drawn from a seed."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
from collections.abc import Coroutine

from bergamotmount.clock import Clock
from bergamotmount.tools.ports import PortAllocator
from bergamotmount.tools.soak.callers import THINK_S, Caller
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.ledger import Breach, Ledger, Promise
from bergamotmount.tools.soak.oddwriter import OddWriter
from bergamotmount.tools.soak.peerproxy import Disturbance, PeerProxy
from bergamotmount.tools.soak.standinserver import (
    Misbehaviour,
    ServerAddresses,
    StandinServer,
)
from bergamotmount.tools.soak.standinstore import StandinStore

#: Time for the nodes to find each other before callers come.
SETTLE_S = 4

#: Time after the last fault in which callers still send.
QUIET_S = 3

#: Time in which a node ends after SIGTERM; then it gets SIGKILL.
GRACE_S = 6

_SERVICES = ('desk', 'board')


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a run consists of.

    Nodes start from one of ``releases``, checkouts of the source; each restart
    draws one anew. With ``is_fixed`` each node keeps one instead, in turn, so
    that the nodes of each service run the same. With ``kills`` processes are
    killed and paused. With ``is_proxied`` nodes reach each other by proxies,
    whose connections are harmed; older releases know no such address. Callers
    pause for ``think_s`` after each answer.
    """

    seed: int
    seconds: float
    nodes: int
    releases: tuple[pathlib.Path, ...]
    kills: bool = True
    is_fixed: bool = False
    is_proxied: bool = True
    think_s: float = THINK_S


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOutcome:
    """The broken promises of a run, how requests ended, and the logs."""

    breaches: list[Breach]
    summary: dict[str, int]
    folder: pathlib.Path


class SoakRun:
    """Plays one run; all processes that it started have ended after it."""

    def __init__(self, options: SoakOptions) -> None:
        """Prepare a run; nothing is started."""
        self._options = options
        self._rng = random.Random(options.seed)
        self._clock = Clock()
        self._ledger = Ledger(self._clock)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        # A loopback address of its own lets runs go side by side.
        host_rng = random.SystemRandom()
        network = f'127.{host_rng.randrange(1, 64)}.{host_rng.randrange(256)}'
        self._host = f'{network}.1'
        self._proxy_host = f'{network}.2'
        self._ports = PortAllocator(self._host)
        self._store = StandinStore(self._clock)
        self._nodes: list[NodeProcess] = []
        self._server_by_node: dict[str, StandinServer] = {}
        self._proxies: list[PeerProxy] = []
        self._odd_writer = OddWriter(
            self._store, random.Random(self._rng.random())
        )
        self._lives = 0
        self._version = 0

    async def play(self) -> SoakOutcome:
        """Play the run and return its outcome."""
        tasks: list[asyncio.Task] = []
        try:
            await self._start()
            await asyncio.sleep(SETTLE_S)
            tasks = [asyncio.create_task(each) for each in self._callers()]
            await self._inject_faults()
            await self._end_faults()
        finally:
            await self._close(tasks)
        breaches = self._ledger.breaches()
        for node in self._nodes:
            breaches.extend(node_breaches(node))
        return SoakOutcome(breaches, self._ledger.summary(), self._folder)

    async def _start(self) -> None:
        store_address = f'{self._host}:{self._ports.take()}'
        await self._store.start(store_address)
        self._publish()
        for number in range(self._options.nodes):
            node = NodeProcess(
                f'node-{number}',
                _SERVICES[number % len(_SERVICES)],
                self._ports,
                self._host,
                store_address,
                self._folder,
            )
            self._nodes.append(node)
            if self._options.is_proxied:
                await self._start_proxy(node)
            await node.start(self._release_of(node))
        for node in self._nodes:
            await node.wait_listening()
            await self._start_server(node)

    async def _start_proxy(self, node: NodeProcess) -> None:
        port = node.peer_address.rpartition(':')[2]
        proxy = PeerProxy(
            f'{self._proxy_host}:{port}',
            node.peer_address,
            random.Random(self._rng.random()),
        )
        await proxy.start()
        self._proxies.append(proxy)
        node.advertised = proxy.address

    async def _start_server(self, node: NodeProcess) -> None:
        self._lives += 1
        addresses = node.addresses
        server = StandinServer(
            f'i-{self._lives}',
            node.service,
            ServerAddresses(addresses.server, addresses.control),
            self._ledger,
            random.Random(self._rng.random()),
        )
        await server.start()
        self._server_by_node[node.name] = server

    def _callers(self) -> list[Coroutine]:
        callers = []
        for node in self._nodes:
            for kind in ('orders', 'views'):
                caller = Caller(
                    f'{kind}-{node.name}',
                    node.name,
                    node.addresses.callers,
                    self._ledger,
                    self._options.think_s,
                )
                is_order = kind == 'orders'
                send = caller.send_orders if is_order else caller.send_pipelined
                callers.append(send())
        return callers

    async def _inject_faults(self) -> None:
        """Start faults at random moments; they overlap."""
        end_ms = self._clock.now_ms() + self._options.seconds * 1000
        faults = [self._misbehave, self._stop, self._reload, self._change]
        faults += [self._replace_server, self._write_oddly]
        if self._options.kills:
            faults += [self._kill, self._pause]
        if self._proxies and self._options.kills:
            faults += [self._disturb_links, self._reset_links]
        async with asyncio.TaskGroup() as group:
            while self._clock.now_ms() < end_ms:
                group.create_task(self._rng.choice(faults)())
                await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    async def _end_faults(self) -> None:
        for server in self._server_by_node.values():
            server.misbehaviour = Misbehaviour()
        for proxy in self._proxies:
            proxy.disturb(Disturbance())
        await asyncio.sleep(QUIET_S)

    async def _misbehave(self) -> None:
        server = self._rng.choice(list(self._server_by_node.values()))
        server.misbehaviour = Misbehaviour.draw(self._rng)
        await asyncio.sleep(self._rng.uniform(2, 6))
        server.misbehaviour = Misbehaviour()

    async def _stop(self) -> None:
        """Stop a node as planned, and start it again."""
        node = self._rng.choice(self._nodes)
        if not node.is_up:
            return
        node.is_up = False
        self._ledger.record_stop(node.name)
        node.send_signal(signal.SIGTERM)
        await node.wait_end(GRACE_S)
        await node.start(self._release_of(node))

    async def _kill(self) -> None:
        node = self._rng.choice(self._nodes)
        if not node.is_up:
            return
        node.is_up = False
        self._ledger.record_fault()
        node.send_signal(signal.SIGKILL)
        await node.wait_end(1)
        await asyncio.sleep(self._rng.uniform(0, 1))
        await node.start(self._release_of(node))
        self._ledger.record_fault()

    async def _pause(self) -> None:
        node = self._rng.choice(self._nodes)
        self._ledger.record_fault()
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.choice((0.2, 0.6, 1.5, 3.5)))
        node.send_signal(signal.SIGCONT)
        self._ledger.record_fault()

    async def _reload(self) -> None:
        node = self._rng.choice(self._nodes)
        if node.is_up and node.handles_sighup:
            node.send_signal(signal.SIGHUP)

    async def _replace_server(self) -> None:
        """Let a server leave as planned, and start another in its place."""
        node = self._rng.choice(self._nodes)
        server = self._server_by_node.pop(node.name, None)
        if server is None:
            return
        await server.leave()
        await self._start_server(node)

    async def _change(self) -> None:
        self._publish()

    async def _disturb_links(self) -> None:
        """Harm the connections to a node for a while."""
        proxy = self._rng.choice(self._proxies)
        self._ledger.record_fault()
        proxy.disturb(Disturbance.draw(self._rng))
        await asyncio.sleep(self._rng.choice((0.3, 0.8, 2, 4)))
        proxy.disturb(Disturbance())
        self._ledger.record_fault()

    async def _reset_links(self) -> None:
        self._ledger.record_fault()
        self._rng.choice(self._proxies).reset_some()

    async def _write_oddly(self) -> None:
        node = self._rng.choice(self._nodes)
        self._odd_writer.write_policy()
        # The next record is a sound one again.
        self._publish()
        self._odd_writer.write_entry(node)
        await self._odd_writer.send(node, f'i-{self._lives}')

    def _publish(self) -> None:
        self._version += self._rng.randint(1, 9)
        self._store.publish(make_policy(self._version, self._rng))

    def _release_of(self, node: NodeProcess) -> pathlib.Path:
        releases = self._options.releases
        if self._options.is_fixed:
            return releases[self._nodes.index(node) % len(releases)]
        return self._rng.choice(releases)

    async def _close(self, callers: list[asyncio.Task]) -> None:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for server in self._server_by_node.values():
            server.close()
        for proxy in self._proxies:
            proxy.close()
        for node in self._nodes:
            node.is_up = False
            with contextlib.suppress(ProcessLookupError):
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal.SIGKILL)
            await node.wait_end(1)
        self._store.close()


def node_breaches(node: NodeProcess) -> list[Breach]:
    """Return what the processes of a node did that none may do."""
    found = [
        Breach(Promise.PROCESS_RUNS, node.name, f'ended with {code}')
        for code in node.own_ends
    ]
    for log in node.logs:
        for line in log.read_text(errors='replace').splitlines():
            if '"level": "error"' in line or line.startswith('Traceback'):
                found.append(Breach(Promise.NO_OWN_ERROR, log.name, line[:200]))
    return found


def make_policy(version: int, rng: random.Random) -> dict:
    """Return a policy record of the operators, with two routes."""
    routes = [
        _route('order', 'desk', 'non_idempotent', rng),
        _route('view', 'board', 'safe', rng),
    ]
    return {
        'version': f'{version:08x}',
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz'} for name in _SERVICES
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


def _route(
    name: str, service: str, route_type: str, rng: random.Random
) -> dict:
    return {
        'name': name,
        'host': 'shop.example',
        'path_prefix': f'/{name}/',
        'service': service,
        'route_type': route_type,
        'timeout_s': rng.choice((2, 5)),
        'target_latency_s': 1.5,
        'max_attempts': rng.choice((1, 2, 3)),
        'priority': 0,
    }
