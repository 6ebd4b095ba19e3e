"""Starts and stops the processes of a small fleet, for demo and benchmarks.

The programs of the project start no processes. This tool takes the place of
the process supervisors on the hosts.
"""

import asyncio
import configparser
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import Iterable

import aiohttp

from bergamotmount.tools.deployments import (
    FAILURE_DOMAINS,
    Deployment,
    ServiceSize,
)
from bergamotmount.tools.ports import free_addresses

#: Maximum time until all processes are ready, in seconds.
READY_TIMEOUT_S = 40

#: Time after which a process that was asked to stop is killed, in seconds.
STOP_TIMEOUT_S = 20

_TICKET_KEY = 'demo-ticket-key-0123456789'
_POLL_INTERVAL_S = 0.1
_SEED_COUNT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class FleetNode:
    """A node and its backend server, with the addresses of both."""

    name: str
    service: str
    failure_domain: str
    peers: str
    callers: str
    admin: str
    server: str
    size: ServiceSize


#: Lines of the log of a process that ended unexpectedly that are shown.
LOG_LINES_SHOWN = 5


class ProcessEndedError(Exception):
    """A process has ended that should run.

    The message holds its name, its exit code and the end of its log.
    """

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        """Describe the end of a process."""
        lines = log.splitlines()[-LOG_LINES_SHOWN:] or ['nothing logged']
        end = '\n'.join(lines)
        super().__init__(f'{name} ended with {exit_code}:\n{end}')


class Fleet:
    """Processes of one deployment: log, nodes and backend servers."""

    def __init__(
        self,
        deployment: Deployment,
        overrides: dict[str, dict[str, str]] | None = None,
        direct: dict[str, float] | None = None,
    ) -> None:
        """Assign addresses; ``overrides`` are extra settings of each node.

        With ``direct`` the backend servers call each other without nodes; it
        holds their ``hop_retries`` and ``shed_per_slot``.
        """
        self.deployment = deployment
        self.node_by_name: dict[str, FleetNode] = {}
        self.control_by_service: dict[str, str] = {}
        self.log_address = free_addresses(1)[0]
        self._overrides = overrides or {}
        self._direct = direct
        self._process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='bergamotmount-')
        self._assign_addresses()

    @property
    def log_url(self) -> str:
        """URL of the stub log."""
        return f'http://{self.log_address}'

    async def start_all(self) -> None:
        """Start log, backend servers and nodes; wait until nodes answer."""
        await self.start_log()
        await self.start_servers()
        await self.start_nodes()
        await self.wait_up()

    async def start_log(self) -> None:
        """Start the stub log."""
        await self._start(
            'log',
            'bergamotmount.tools.standin_log',
            '--listen',
            self.log_address,
        )

    async def start_servers(self) -> None:
        """Start the stubs of all backend servers."""
        for service in self.deployment.service_by_name:
            path = self._write_json(service, self._server_spec(service))
            module = 'bergamotmount.tools.standin_server'
            await self._start(f'servers-{service}', module, path)

    async def start_nodes(self, names: Iterable[str] | None = None) -> None:
        """Start nodes, all of them by default."""
        for name in names or self.node_by_name:
            path = self._write_settings(self.node_by_name[name])
            await self._start(name, 'bergamotmount', '--config', path)

    async def start_tool(self, name: str, tool: str, *arguments: str) -> None:
        """Start another companion program as process ``name``."""
        await self._start(name, f'bergamotmount.tools.{tool}', *arguments)

    async def announce(self, node: FleetNode) -> None:
        """Announce a backend server that doesn't announce itself."""
        announcement = {
            'service': node.service,
            'slots': node.size.slots,
            'cold': False,
        }
        url = f'http://{node.admin}/server/announce'
        async with aiohttp.ClientSession() as session:
            await session.post(url, json=announcement)

    async def wait_ready(self) -> None:
        """Wait until each node has a policy and sees all servers serving."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            async with aiohttp.ClientSession() as session:
                while not await self._all_ready(session):
                    self._check_processes()
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_up(self) -> None:
        """Wait until all nodes answer at their admin addresses."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            async with aiohttp.ClientSession() as session:
                for node in self.node_by_name.values():
                    while await fetch_status(session, node) is None:
                        self._check_processes()
                        await asyncio.sleep(_POLL_INTERVAL_S)

    def override(self, settings: dict[str, dict[str, str]]) -> None:
        """Replace the extra settings of nodes that are started later."""
        self._overrides = settings

    async def kill(self, name: str) -> None:
        """Kill one process with SIGKILL and wait for its end."""
        process = self._process_by_name.pop(name)
        process.send_signal(signal.SIGKILL)
        await process.wait()

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to one process."""
        self._process_by_name[name].send_signal(signum)

    def pid(self, name: str) -> int:
        """Return the process id of process ``name``."""
        return self._process_by_name[name].pid

    async def stop_gracefully(self, name: str) -> int:
        """Stop one process with SIGTERM and return its exit code."""
        process = self._process_by_name.pop(name)
        process.terminate()
        return await process.wait()

    async def stop(self) -> None:
        """Stop all processes, nodes first."""
        nodes = self._process_by_name.keys() & self.node_by_name.keys()
        await self._stop_processes(nodes)
        await self._stop_processes(self._process_by_name.keys() - nodes)
        self._process_by_name.clear()
        self._directory.cleanup()

    async def execution_counts(self) -> dict[str, dict]:
        """Return the execution counts of the backend servers by service."""
        counts_by_service = {}
        async with aiohttp.ClientSession() as session:
            for service, control in self.control_by_service.items():
                async with session.get(f'http://{control}/truth') as response:
                    counts_by_service[service] = await response.json()
        return counts_by_service

    async def tune(self, service: str, **tuning: float) -> None:
        """Change the behaviour of a service's backend servers."""
        url = f'http://{self.control_by_service[service]}/control'
        async with aiohttp.ClientSession() as session:
            await session.post(url, json=tuning)

    def _assign_addresses(self) -> None:
        for service, size in self.deployment.service_by_name.items():
            self.control_by_service[service] = free_addresses(1)[0]
            for index in range(size.servers):
                domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
                name = f'{service}-{index + 1}'
                addresses = free_addresses(4)
                self.node_by_name[name] = FleetNode(
                    name,
                    service,
                    domain,
                    *addresses,
                    size=size,
                )

    def _server_spec(self, service: str) -> dict:
        operations = {
            name: {
                'service_ms': operation.service_ms,
                'callees': operation.callees,
            }
            for name, operation in self.deployment.operations_of(
                service,
            ).items()
        }
        servers = [
            {
                'listen': node.server,
                'callers_url': f'http://{node.callers}',
                'admin_url': '' if self._direct else f'http://{node.admin}',
                'slots': node.size.slots,
            }
            for node in self.node_by_name.values()
            if node.service == service
        ]
        spec = {
            'service': service,
            'control': self.control_by_service[service],
            'operations': operations,
            'servers': servers,
        }
        if self._direct:
            spec['direct_urls'] = self._direct_urls()
            spec['shed_per_slot'] = self._direct['shed_per_slot']
            for operation in operations.values():
                operation['hop_retries'] = self._direct['hop_retries']
        return spec

    def _direct_urls(self) -> dict[str, list[str]]:
        urls_by_service: dict[str, list[str]] = {}
        for node in self.node_by_name.values():
            urls = urls_by_service.setdefault(node.service, [])
            urls.append(f'http://{node.server}')
        return urls_by_service

    def _write_json(self, name: str, document: dict) -> str:
        path = os.path.join(self._directory.name, f'{name}.json')
        with open(path, 'w', encoding='utf-8') as sink:
            json.dump(document, sink)
        return path

    def _write_settings(self, node: FleetNode) -> str:
        seeds = [each.peers for each in self.node_by_name.values()][
            :_SEED_COUNT
        ]
        parser = configparser.ConfigParser()
        parser.read_dict(
            {
                'node': {
                    'name': node.name,
                    'region': self.deployment.region,
                    'failure_domain': node.failure_domain,
                },
                'listen': {
                    'peers': node.peers,
                    'callers': node.callers,
                    'admin': node.admin,
                },
                'server': {
                    'url': f'http://{node.server}',
                    'connections': str(node.size.connections),
                },
                'join': {'seeds': ', '.join(seeds), 'log_url': self.log_url},
                'tickets': {'key': _TICKET_KEY},
                'log': {'level': 'warning'},
            }
        )
        parser.read_dict(self._overrides)
        path = os.path.join(self._directory.name, f'{node.name}.ini')
        with open(path, 'w', encoding='utf-8') as sink:
            parser.write(sink)
        return path

    async def _start(self, name: str, module: str, *arguments: str) -> None:
        with self._log_path(name).open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                start_new_session=True,
                stderr=log,
            )
        self._process_by_name[name] = process

    def _log_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / f'{name}.log'

    def _check_processes(self) -> None:
        for name, process in self._process_by_name.items():
            if process.returncode is not None:
                log = self._log_path(name).read_text(errors='replace')
                raise ProcessEndedError(name, process.returncode, log)

    async def _stop_processes(self, names: Iterable[str]) -> None:
        processes = [self._process_by_name[name] for name in names]
        for process in processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*map(_wait_or_kill, processes))

    async def _all_ready(self, session: aiohttp.ClientSession) -> bool:
        expected = len(self.node_by_name)
        for node in self.node_by_name.values():
            status = await fetch_status(session, node)
            if status is None or status['policy_offset'] < 0:
                return False
            serving = [
                member
                for member in status['members']
                if member['state'] == 'serving' and member['slots']
            ]
            if len(serving) < expected:
                return False
        return True


async def fetch_status(
    session: aiohttp.ClientSession,
    node: FleetNode,
) -> dict | None:
    """Return the status of a node, or ``None`` if it doesn't answer."""
    try:
        async with session.get(f'http://{node.admin}/status') as response:
            return await response.json()
    except (aiohttp.ClientError, OSError):
        return None


async def _wait_or_kill(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
