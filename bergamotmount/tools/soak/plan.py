"""Hosts of a soak and their settings files."""

import dataclasses
import pathlib

FAILURE_DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')
SERVICES = ('front', 'stock')

_CALLERS, _READY, _CONTROL, _SERVER = 8304, 8302, 8306, 8301
_PEERS, _PROXY, _STORE = 7620, 7640, 8309

#: Time between announcements of a server, in seconds.
HEARTBEAT_S = 0.5

#: Time from SIGTERM to the kill that a node is promised, in seconds.
GRACE_S = 6


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """One host: an address of the loopback network, a node, and a server.

    Peers reach the node by ``proxy``, the node reaches the store by ``store``;
    both addresses belong to proxies that can break what passes them.
    """

    name: str
    ip: str
    failure_domain: str
    service: str

    @property
    def callers(self) -> str:
        """Address for callers on this host."""
        return f'{self.ip}:{_CALLERS}'

    @property
    def ready(self) -> str:
        """Address at which readiness is asked for."""
        return f'{self.ip}:{_READY}'

    @property
    def control(self) -> str:
        """Address for announcements of the server."""
        return f'{self.ip}:{_CONTROL}'

    @property
    def server(self) -> str:
        """Address of the server."""
        return f'{self.ip}:{_SERVER}'

    @property
    def peers(self) -> str:
        """Address at which the node listens for peers."""
        return f'{self.ip}:{_PEERS}'

    @property
    def proxy(self) -> str:
        """Address that peers are told."""
        return f'{self.ip}:{_PROXY}'

    @property
    def store(self) -> str:
        """Address at which this host reaches the store."""
        return f'{self.ip}:{_STORE}'


def plan_hosts(count: int, network: int) -> list[HostPlan]:
    """Return hosts of both services over all failure domains.

    ``network`` tells soaks apart that run at the same time.
    """
    high, low = divmod(network % (1 << 15), 1 << 8)
    return [
        HostPlan(
            f'host-{number}',
            f'127.{high + 1}.{low}.{number + 10}',
            FAILURE_DOMAINS[number // len(SERVICES) % len(FAILURE_DOMAINS)],
            SERVICES[number % len(SERVICES)],
        )
        for number in range(count)
    ]


def store_ip(host: HostPlan) -> str:
    """Return the address of the store in the network of a host."""
    network, _, _ = host.ip.rpartition('.')
    return f'{network}.9'


def write_settings(host: HostPlan, folder: pathlib.Path) -> pathlib.Path:
    """Write the settings file of a node and return its path."""
    lines = (
        f'local_node.node_name={host.name}',
        f'local_node.ip={host.ip}',
        'local_node.region=region-1',
        f'local_node.zone={host.failure_domain}',
        f'local_node.service={host.service}',
        f'local_node.app_addr={host.server}',
        f'network.listen_addrs.outbound={host.callers}',
        f'network.listen_addrs.ready={host.ready}',
        f'network.listen_addrs.control={host.control}',
        f'network.port_range={_PEERS},{_PEERS + 15}',
        f'platform.heartbeat_s={HEARTBEAT_S}',
        f'platform.platform.address={host.store}',
        f'terms.bounds.grace_s={GRACE_S}',
        'terms.bounds.retry_budget_ratio=0.2',
        'terms.bounds.budget_window_s=10',
    )
    path = folder / f'{host.name}.conf'
    path.write_text('\n'.join(lines), encoding='utf-8')
    return path
