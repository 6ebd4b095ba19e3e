"""Everything that a soak runs: nodes, proxies, store, servers, callers."""

import asyncio
import json
import os
import pathlib
import random
import signal
import tempfile

from bergamotmount.tools.process import Closer
from bergamotmount.tools.processes import Processes
from bergamotmount.tools.soak.backend import Backend
from bergamotmount.tools.soak.callers import ROUTE_HOST, Callers
from bergamotmount.tools.soak.plan import (
    SERVICES,
    HostPlan,
    plan_hosts,
    store_ip,
    write_settings,
)
from bergamotmount.tools.soak.proxy import Proxy
from bergamotmount.tools.soak.store import StoreStandin
from bergamotmount.tools.soak.truth import Truth, now_s

_NODE = 'bergamotmount.platform'
_SKEWED = 'bergamotmount.tools.soak.skewed'
_VERSION_STEP = 3

#: Time that proxies get to end their connections.
_SETTLE_S = 0.2


class SoakFleet:
    """The whole deployment of one soak."""

    def __init__(self, hosts: int, rng: random.Random) -> None:
        """Plan so many hosts; nothing runs before :meth:`start`."""
        self.truth = Truth()
        self.hosts = plan_hosts(hosts, os.getpid())
        self.store = StoreStandin()
        self.callers = Callers(self.truth, rng)
        self.proxy_by_host: dict[str, Proxy] = {}
        self.store_proxy_by_host: dict[str, Proxy] = {}
        self.backend_by_host: dict[str, Backend] = {}
        self._rng = rng
        self._version = 0
        self._processes = Processes()
        self._folder = tempfile.TemporaryDirectory(prefix='bergamotmount-')
        self._closers: list[Closer] = []
        self._logs: dict[str, pathlib.Path] = {}

    async def start(self) -> None:
        """Start all, the nodes last."""
        first = self.hosts[0]
        store = first.store.replace(first.ip, store_ip(first))
        self._closers.append(await self.store.start(store))
        self.publish()
        for host in self.hosts:
            self.proxy_by_host[host.name] = Proxy(host.proxy, host.peers)
            self.store_proxy_by_host[host.name] = Proxy(host.store, store)
            await self.proxy_by_host[host.name].start()
            await self.store_proxy_by_host[host.name].start()
            backend = Backend(host, self.truth, self._rng, self.callers.call)
            self.backend_by_host[host.name] = backend
            await backend.start()
        for host in self.hosts:
            await self.start_node(host)

    async def start_node(self, host: HostPlan, skew_s: int = 0) -> None:
        """Start the node of a host, with a wall clock that may be wrong."""
        life = self.callers.life_by_host.get(host.name, 0) + 1
        self.callers.life_by_host[host.name] = life
        path = write_settings(host, self._path(''))
        log = self._path(f'{host.name}.log')
        self._logs[host.name] = log
        module = (_SKEWED, str(skew_s)) if skew_s else (_NODE,)
        with log.open('ab') as sink:
            await self._processes.start(
                host.name,
                *module,
                '--config',
                str(path),
                '--advertise',
                host.proxy,
                stdout=sink.fileno(),
            )

    async def kill(self, host: HostPlan) -> None:
        """Kill the node of a host."""
        self._note_end(host)
        await self._processes.kill(host.name)

    async def terminate(self, host: HostPlan) -> None:
        """Stop the node of a host as planned."""
        self._note_end(host)
        code = await self._processes.stop(host.name)
        if code:
            self.truth.ended_alone.append(f'{host.name}, exit code {code}')

    def signal(self, host: HostPlan, number: signal.Signals) -> None:
        """Send a signal to the node of a host, if there is one now."""
        if host.name in self._processes.names:
            self._processes.signal(host.name, number)

    def publish(self) -> None:
        """Publish a newer policy, which adds one route and drops one."""
        self._version += 1
        self.callers.version = self._version
        self.truth.published_s_by_version[self._version] = now_s()
        self.store.publish(json.dumps(_record(self._version)).encode())

    async def stop(self) -> None:
        """End everything that this soak started, and read the logs."""
        for host in self.hosts:
            self._note_end(host)
        await self._processes.stop_all()
        for backend in self.backend_by_host.values():
            await backend.crash()
        for proxy in (
            *self.proxy_by_host.values(),
            *self.store_proxy_by_host.values(),
        ):
            proxy.close()
        await asyncio.sleep(_SETTLE_S)
        for close in self._closers:
            await close()
        await asyncio.to_thread(self._read_logs)

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of all nodes to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for log in self._logs.values():
            (folder / log.name).write_bytes(log.read_bytes())

    def close(self) -> None:
        """Remove all files."""
        self._folder.cleanup()

    def _path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._folder.name) / name

    def _note_end(self, host: HostPlan) -> None:
        if host.name not in self._processes.names:
            return
        code = self._processes.exit_code(host.name)
        if code is not None:
            self.truth.ended_alone.append(f'{host.name}, exit code {code}')

    def _read_logs(self) -> None:
        for name, log in self._logs.items():
            for line in log.read_text(encoding='utf-8').splitlines():
                if '"level": "error"' in line or line.startswith('Traceback'):
                    self.truth.error_lines.append(f'{name}: {line}')


def _record(version: int) -> dict:
    routes = [
        _route('read', '/front/read/', 'front'),
        _route('order', '/front/order/', 'front', is_safe=False),
        _route('look', '/stock/look/', 'stock'),
        *(
            _route(f'v{each}', f'/v{each}/', 'front')
            for each in (version - 1, version)
        ),
    ]
    return {
        'version': f'{version * _VERSION_STEP:08x}',
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz', 'max_connections': 400}
            for name in SERVICES
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1 << 20,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


def _route(name: str, prefix: str, service: str, *, is_safe=True) -> dict:
    return {
        'name': name,
        'host': ROUTE_HOST,
        'path_prefix': prefix,
        'route_type': 'safe' if is_safe else 'non_idempotent',
        'timeout_s': 1.5,
        'target_latency_s': 0.5,
        'priority': 1,
        'max_attempts': 3,
        'service': service,
    }
