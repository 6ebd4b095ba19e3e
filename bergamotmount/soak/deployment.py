"""Node processes of the soak, on loopback addresses of this run only."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys

#: Range of ports below those of outgoing connections.
PORTS = range(12_000, 30_000)

#: Ports of a node, and those that nodes use among each other.
PORTS_PER_NODE = 5
PEER_PORTS = 8

READY_TIMEOUT_S = 20

DOMAINS = ('east', 'west', 'north')


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node and of the server beside it."""

    server: str
    callers: str
    ready: str
    control: str
    inbound: str
    first_peer_port: int


class PortRange:
    """Hands out ports in a row that are free now, each once."""

    def __init__(self, host: str, rng: random.Random) -> None:
        """Start at a random port of the range."""
        self._host = host
        self._next = rng.randrange(PORTS.start, PORTS.stop // 2)

    def take(self, count: int) -> int:
        """Return the first of ``count`` free ports."""
        while True:
            first = self._next
            self._next += count
            if all(map(self._is_free, range(first, first + count))):
                return first

    def _is_free(self, port: int) -> bool:
        with socket.socket() as probe:
            try:
                probe.bind((self._host, port))
            except OSError:
                return False
        return True


class NodeProcess:
    """One node; its process is started again with the same addresses.

    ``release`` is the checkout that it runs.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ports: PortRange,
        host: str,
        store_address: str,
        folder: pathlib.Path,
    ) -> None:
        """Choose addresses; no process runs before :meth:`start`."""
        first = ports.take(PORTS_PER_NODE + PEER_PORTS)
        self.name = name
        self.service = service
        self.addresses = NodeAddresses(
            *(f'{host}:{first + place}' for place in range(PORTS_PER_NODE)),
            first + PORTS_PER_NODE,
        )
        self.is_up = False
        self._host = host
        self._store_address = store_address
        self._folder = folder
        self._starts = 0
        self._process: asyncio.subprocess.Process | None = None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, ``None`` while it runs."""
        return self._process.returncode

    async def start(self, release: pathlib.Path) -> None:
        """Start the process."""
        path = self._folder / f'{self.name}.conf'
        path.write_text('\n'.join(self._settings()), encoding='utf-8')
        self._starts += 1
        log = self._folder / f'{self.name}.{self._starts}.log'
        with log.open('wb') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bergamotmount.platform',
                cwd=release,
                env={**os.environ, 'BERGAMOTMOUNT_CONFIG': str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.is_up = True

    async def wait_listening(self) -> None:
        """Wait until callers can connect; raise TimeoutError if they can't."""
        host, _, port = self.addresses.callers.rpartition(':')
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> None:
        """Wait for the end of the process, then make sure of it."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
        self.is_up = False

    def _settings(self) -> list[str]:
        return [
            *self._own_settings(),
            *self._network_settings(),
            'platform.heartbeat_s=1.5',
            f'platform.platform.address={self._store_address}',
            'platform.platform.form=log',
            'platform.platform.keep_s=20',
            'terms.bounds.grace_s=6',
            'terms.bounds.drain_s=2',
            'terms.bounds.retry_budget_ratio=0.2',
            'terms.bounds.budget_window_s=10',
            'terms.bounds.retry_budget_slack=47',
            '',
        ]

    def _own_settings(self) -> list[str]:
        number = int(self.name.rpartition('-')[2])
        domain = DOMAINS[number % len(DOMAINS)]
        is_first = str(not self._starts).lower()
        identity = [
            f'local_node.node_name={self.name}',
            f'local_node.zone={domain}',
            'local_node.region=region',
        ]
        return [
            *identity,
            'local_node.serves=sidecar',
            f'local_node.ip={self._host}',
            f'local_node.bootstrap={is_first}',
            f'local_node.app_addr={self.addresses.server}',
            f'local_node.service={self.service}',
        ]

    def _network_settings(self) -> list[str]:
        addresses = self.addresses
        first_port = addresses.first_peer_port
        last_port = first_port + PEER_PORTS - 1
        zones = [f'network.zones.{each}=region' for each in DOMAINS]
        return [
            *zones,
            f'network.listen_addrs.inbound={addresses.inbound}',
            f'network.listen_addrs.outbound={addresses.callers}',
            f'network.listen_addrs.ready={addresses.ready}',
            f'network.listen_addrs.control={addresses.control}',
            f'network.port_range={first_port},{last_port}',
            'network.seeds=',
        ]
