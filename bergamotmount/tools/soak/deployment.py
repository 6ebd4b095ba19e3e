"""Node processes of the soak, on loopback addresses of this run only."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys

from bergamotmount.tools.ports import PortAllocator

#: Addresses of a node, and the ports that nodes use among each other.
ADDRESSES_PER_NODE = 5
PEER_PORTS = 8

READY_TIMEOUT_S = 20

_HEX = 16
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)

DOMAINS = ('east', 'west', 'north')


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses of one node and of the server beside it."""

    server: str
    callers: str
    ready: str
    control: str
    inbound: str
    peer_ports: list[int]


class NodeProcess:
    """One node; its process is started again with the same addresses.

    ``release`` is the checkout that it runs.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ports: PortAllocator,
        host: str,
        store_address: str,
        folder: pathlib.Path,
    ) -> None:
        """Choose addresses; no process runs before :meth:`start`."""
        self.name = name
        self.service = service
        self.addresses = NodeAddresses(
            *(f'{host}:{ports.take()}' for _ in range(ADDRESSES_PER_NODE)),
            [ports.take() for _ in range(PEER_PORTS)],
        )
        self.is_up = False
        #: Exit codes of processes that ended by themselves.
        self.own_ends: list[int] = []
        #: Address of a proxy that other nodes are told to connect to.
        self.advertised = ''
        #: Lines of the settings file beside the usual ones.
        self.more_settings: list[str] = []
        self._host = host
        self._store_address = store_address
        self._folder = folder
        self._starts = 0
        self._process: asyncio.subprocess.Process | None = None
        self._watching: asyncio.Task | None = None

    @property
    def pid(self) -> int:
        """Id of the latest process."""
        return self._process.pid

    @property
    def peer_address(self) -> str:
        """Where the node listens for other nodes."""
        return f'{self._host}:{self.addresses.peer_ports[0]}'

    @property
    def handles_sighup(self) -> bool:
        """Whether SIGHUP doesn't end the process.

        It does by default, until the interpreter has come to the first line
        of the program.
        """
        status = pathlib.Path(f'/proc/{self._process.pid}/status')
        try:
            lines = status.read_text(encoding='utf-8').splitlines()
        except OSError:
            return False
        masks = [
            int(line.split()[1], _HEX)
            for line in lines
            if line.startswith(('SigIgn:', 'SigCgt:'))
        ]
        return any(mask & _SIGHUP_BIT for mask in masks)

    @property
    def logs(self) -> list[pathlib.Path]:
        """Return the logs of all processes of this node."""
        return sorted(self._folder.glob(f'{self.name}.*.log'))

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
                *self._arguments(),
                cwd=release,
                env={**os.environ, 'BERGAMOTMOUNT_CONFIG': str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.is_up = True
        self._watching = asyncio.create_task(self._watch(self._process))

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

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Notice a process that ends without having been told to."""
        code = await process.wait()
        if self.is_up and process is self._process:
            self.is_up = False
            self.own_ends.append(code)

    def _arguments(self) -> list[str]:
        return ['--advertise', self.advertised] if self.advertised else []

    def _settings(self) -> list[str]:
        return [
            *self._own_settings(),
            *self._network_settings(),
            'platform.heartbeat_s=1.5',
            f'platform.platform.address={self._store_address}',
            'platform.platform.form=log',
            'platform.platform.keep_s=20',
            'terms.bounds.grace_s=6',
            'terms.bounds.config_apply_s=2',
            'terms.bounds.drain_s=2',
            'terms.bounds.retry_budget_ratio=0.2',
            'terms.bounds.budget_window_s=10',
            'terms.bounds.retry_budget_slack=47',
            *self.more_settings,
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
        first_port, *_, last_port = addresses.peer_ports
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
