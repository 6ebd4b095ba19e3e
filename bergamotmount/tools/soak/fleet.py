"""What a run of the soak consists of: store, nodes, servers and proxies."""

import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile

from bergamotmount.clock import Clock
from bergamotmount.tools.ports import PortAllocator
from bergamotmount.tools.soak.callers import THINK_S
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.faultproxy import FaultProxy
from bergamotmount.tools.soak.ledger import Ledger
from bergamotmount.tools.soak.operators import SERVICES, Operators
from bergamotmount.tools.soak.standinserver import (
    ServerAddresses,
    StandinServer,
)
from bergamotmount.tools.soak.standinstore import StandinStore


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a run consists of.

    Nodes start from one of ``releases``, checkouts of the source; each restart
    draws one anew. With ``is_fixed`` each node keeps one instead, in turn, so
    that the nodes of each service run the same. With ``kills`` processes are
    killed and paused. With ``is_proxied`` nodes reach each other by proxies,
    whose connections are harmed; older releases know no such address. Callers
    pause for ``think_s`` after each answer. Only ``faults`` are injected, all
    if none is named.
    """

    seed: int
    seconds: float
    nodes: int
    releases: tuple[pathlib.Path, ...]
    kills: bool = True
    is_fixed: bool = False
    is_proxied: bool = True
    think_s: float = THINK_S
    faults: tuple[str, ...] = ()


class Fleet:
    """The processes and stand-ins of one run."""

    def __init__(self, options: SoakOptions) -> None:
        """Choose addresses; nothing is started."""
        self.options = options
        self.rng = random.Random(options.seed)
        self.clock = Clock()
        self.ledger = Ledger(self.clock)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        # A loopback address of its own lets runs go side by side.
        host_rng = random.SystemRandom()
        network = f'127.{host_rng.randrange(1, 64)}.{host_rng.randrange(256)}'
        self._host = f'{network}.1'
        self._proxy_host = f'{network}.2'
        self._ports = PortAllocator(self._host)
        self.store = StandinStore(self.clock)
        self.operators = Operators(self.store, self.ledger, self.rng)
        self.nodes: list[NodeProcess] = []
        self.server_by_node: dict[str, StandinServer] = {}
        self.peer_proxy_by_node: dict[str, FaultProxy] = {}
        self.store_proxy_by_node: dict[str, FaultProxy] = {}
        self.servers_started = 0

    @property
    def proxies(self) -> list[FaultProxy]:
        """All proxies, in front of nodes and of the store."""
        return [
            *self.peer_proxy_by_node.values(),
            *self.store_proxy_by_node.values(),
        ]

    async def start(self) -> None:
        """Start the store, the nodes, and the servers beside them."""
        store_address = f'{self._host}:{self._ports.take()}'
        await self.store.start(store_address)
        self.operators.publish()
        for number in range(self.options.nodes):
            node = NodeProcess(
                f'node-{number}',
                SERVICES[number % len(SERVICES)],
                self._ports,
                self._host,
                await self._start_store_proxy(f'node-{number}', store_address),
                self.folder,
            )
            self.nodes.append(node)
            if self.options.is_proxied:
                await self._start_proxy(node)
            await node.start(self.release_of(node))
        for node in self.nodes:
            await node.wait_listening()
            await self.start_server(node)

    async def start_server(self, node: NodeProcess) -> None:
        """Start a server beside a node."""
        self.servers_started += 1
        addresses = node.addresses
        server = StandinServer(
            f'i-{self.servers_started}',
            node.service,
            ServerAddresses(addresses.server, addresses.control),
            self.ledger,
            random.Random(self.rng.random()),
        )
        await server.start()
        self.server_by_node[node.name] = server

    def release_of(self, node: NodeProcess) -> pathlib.Path:
        """Return the checkout that a node runs at its next start."""
        releases = self.options.releases
        if self.options.is_fixed:
            return releases[self.nodes.index(node) % len(releases)]
        return self.rng.choice(releases)

    async def close(self) -> None:
        """End all that was started."""
        for server in self.server_by_node.values():
            server.close()
        for proxy in self.proxies:
            proxy.close()
        for node in self.nodes:
            node.is_up = False
            with contextlib.suppress(ProcessLookupError):
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal.SIGKILL)
            await node.wait_end(1)
        self.store.close()

    async def _start_store_proxy(self, node: str, store_address: str) -> str:
        """Start the proxy by which a node reaches the store."""
        proxy = FaultProxy(
            f'{self._proxy_host}:{self._ports.take()}',
            store_address,
            random.Random(self.rng.random()),
        )
        await proxy.start()
        self.store_proxy_by_node[node] = proxy
        return proxy.address

    async def _start_proxy(self, node: NodeProcess) -> None:
        port = node.peer_address.rpartition(':')[2]
        proxy = FaultProxy(
            f'{self._proxy_host}:{port}',
            node.peer_address,
            random.Random(self.rng.random()),
        )
        await proxy.start()
        self.peer_proxy_by_node[node.name] = proxy
        node.advertised = proxy.address
