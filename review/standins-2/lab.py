"""Stand-ins for the review cases: the store, backend servers, nodes, callers.

Everything listens on 127.0.0.1. Nodes are separate processes, started with
the command of the deploy file; the rest runs in the process of the case. Only
the standard library is used.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

HOST = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 25
_FIRST_PORT, _LAST_PORT = 10_000, 30_000
_PEER_PORTS = 8
_MB_BYTES = 1024 * 1024

Headers = list[tuple[str, str]]

#: How a connection ends, also at the end of the case.
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def write(self, event: str, **fields: object) -> None:
        """Write one line: seconds since the start, event, fields."""
        elapsed_s = time.monotonic() - self._started_s
        texts = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{elapsed_s:9.3f} {event} {texts}\n')
        self._file.flush()


_next_port = _FIRST_PORT + os.getpid() * 97 % 15_000


def free_port() -> int:
    """Return a free port outside the range of outgoing connections."""
    global _next_port
    while _next_port < _LAST_PORT:
        _next_port += 1
        with socket.socket() as probe:
            try:
                probe.bind((HOST, _next_port))
            except OSError:
                continue
            return _next_port
    raise RuntimeError('no free port')


@dataclasses.dataclass
class Message:
    """A request or a response; ``start`` is its first line."""

    start: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first header of this name."""
        for each, text in self.headers:
            if each.lower() == name.lower():
                return text
        return None

    @property
    def status(self) -> int:
        return int(self.start.split(' ')[1])

    @property
    def target(self) -> str:
        return self.start.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = []
    for line in lines:
        name, _, text = line.partition(':')
        headers.append((name, text.strip()))
    return Message(start, headers, b'')


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length, or without a body."""
    message = await read_head(reader)
    length = int(message.header('Content-Length') or 0)
    message.body = await reader.readexactly(length)
    return message


def pack(start: str, headers: Headers, body: bytes = b'') -> bytes:
    """Encode a message with its Content-Length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store: keyed topics, append, read and newest."""

    def __init__(self) -> None:
        self.address = f'{HOST}:{free_port()}'
        self._records: dict[str, list[bytes]] = collections.defaultdict(list)
        self._changed = asyncio.Event()

    async def start(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def publish(self, manifest: dict) -> None:
        """Write a manifest as the operator does."""
        key = b'config'
        encoded = json.dumps(manifest).encode()
        self._append('keyed.op', bytes((len(key),)) + key + encoded)

    def _append(self, topic: str, record: bytes) -> None:
        self._records[topic].append(record)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                request = await read_message(reader)
                await asyncio.sleep(0.004)
                status, body = await self._answer(request)
                writer.write(
                    pack(
                        f'HTTP/1.1 {status} X',
                        [('Store-Era', '1')],
                        body,
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, bytes]:
        path, _, query = request.target.partition('?')
        fields = dict(each.split('=', 1) for each in query.split('&') if each)
        topic = fields.get('topic', '')
        records = self._records[topic]
        match path.rpartition('/')[2]:
            case 'log-append':
                first = len(records)
                rest = request.body
                while rest:
                    end = 4 + int.from_bytes(rest[:4], 'big')
                    self._append(topic, rest[4:end])
                    rest = rest[end:]
                return 200, json.dumps(
                    {'offset': first, 'end_offset': len(records)}
                ).encode()
            case 'log-newest':
                return 200, self._newest(records)
            case 'log-read':
                return 200, await self._read(topic, fields)
        return 404, b''

    def _newest(self, records: list[bytes]) -> bytes:
        newest: dict[str, dict] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            key, encoded = record[1:end].decode(), record[end:]
            newest.pop(key, None)
            if encoded:
                newest[key] = {
                    'key': key,
                    'value': base64.b64encode(encoded).decode(),
                    'offset': offset,
                }
        return json.dumps(
            {
                'items': [newest[key] for key in sorted(newest)],
                'has_more': False,
                'end_offset': len(records),
            }
        ).encode()

    async def _read(self, topic: str, fields: dict[str, str]) -> bytes:
        start = int(fields['from'])
        records = self._records[topic]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields.get('wait_ms', 0)) / 1000):
                while len(records) <= start:
                    await self._changed.wait()
        parts = [struct.pack('!QQ', len(records), 0)]
        for record in records[start:]:
            parts.extend((struct.pack('!I', len(record)), record))
        return b''.join(parts)


class Node:
    """One machine: its settings, its node process, its server's address."""

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        store: Store,
        record: Record,
        folder: pathlib.Path,
        memory_mb: int = 300,
    ) -> None:
        self.name, self.zone, self.service = name, zone, service
        self.memory_mb = memory_mb
        self.server_address = f'{HOST}:{free_port()}'
        self.outbound, self.ready, self.control, self.inbound = (
            f'{HOST}:{free_port()}' for _ in range(4)
        )
        while True:
            first = free_port()
            if all(free_port() == first + n for n in range(1, _PEER_PORTS)):
                break
        self.peer_ports = first, first + _PEER_PORTS - 1
        self._store, self._record, self._folder = store, record, folder
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.peak_mb = 0.0
        #: Ends of the process by itself, and by the memory limit.
        self.own_ends: list[str] = []
        self._expected_end = False
        self._watching: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process as the platform does."""
        settings = self._folder / f'{self.name}.conf'
        settings.write_text('\n'.join(self._settings()) + '\n', 'utf-8')
        self.starts += 1
        self._expected_end = False
        log = self._folder / f'{self.name}.{self.starts}.log'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        command = deploy['roles']['node']['run'].split(' ')
        with log.open('wb') as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BERGAMOTMOUNT_CONFIG': str(settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._watching = asyncio.create_task(self._watch(self.process))

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process.returncode is None:
            if number in {signal.SIGTERM, signal.SIGKILL}:
                self._expected_end = True
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process for good."""
        if self._watching is not None:
            self._watching.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def enforce_memory(self) -> None:
        """Kill a process over its memory limit; start ended ones again."""
        while True:
            await asyncio.sleep(0.02)
            if self.process.returncode is not None:
                if not self._expected_end:
                    await asyncio.sleep(1)
                    await self.start()
                continue
            used_mb = self.memory_used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self._record.write(
                    'over-memory', node=self.name, anonymous_mb=f'{used_mb:.0f}'
                )
                self.own_ends.append('memory')
                self.process.kill()
                await self.process.wait()
                await asyncio.sleep(1)
                await self.start()

    def memory_used_mb(self) -> float:
        """Return the anonymous resident memory of the process.

        Where the kernel doesn't tell, it is all that is resident.
        """
        kilobytes_by_name = {}
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text('utf-8').splitlines():
                name, _, text = line.partition(':')
                if name in {'RssAnon', 'VmRSS'}:
                    kilobytes_by_name[name] = int(text.split()[0])
        except (OSError, ValueError):
            return 0
        resident = kilobytes_by_name.get('VmRSS', 0)
        return kilobytes_by_name.get('RssAnon', resident) * 1024 / _MB_BYTES

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self._record.write('node-ended', node=self.name, code=code)
        is_memory = self.own_ends and self.own_ends[-1] == 'memory'
        if not self._expected_end and not (is_memory and code == -9):
            self.own_ends.append(f'code {code}')

    def _settings(self) -> list[str]:
        first, last = self.peer_ports
        is_first = 'true' if self.starts == 0 else 'false'
        return [
            f'local_node.node_name={self.name}',
            'local_node.role=node',
            'local_node.machine_class=sidecar',
            'local_node.serves=sidecar',
            f'local_node.ip={HOST}',
            f'local_node.zone={self.zone}',
            'local_node.region=gh-south',
            'local_node.in_fault_budget=false',
            f'local_node.bootstrap={is_first}',
            'local_node.limits.cpu_share=0.86',
            'local_node.limits.cpu_cores=2',
            f'local_node.limits.memory_mb={self.memory_mb}',
            'local_node.limits.max_fds=4100',
            'local_node.limits.link_mbps=1000.0',
            'local_node.limits.disk_mb=0',
            f'local_node.app_addr={self.server_address}',
            f'local_node.service={self.service}',
            f'network.listen_addrs.inbound={self.inbound}',
            f'network.listen_addrs.outbound={self.outbound}',
            f'network.listen_addrs.ready={self.ready}',
            f'network.listen_addrs.control={self.control}',
            f'network.port_range={first},{last}',
            'network.seeds=',
            'network.zones.accra-central=gh-south',
            'network.zones.tema=gh-south',
            'platform.discovery=static',
            'platform.entry_mode=static',
            f'platform.heartbeat_s={HEARTBEAT_S}',
            f'platform.platform.address={self._store.address}',
            'platform.platform.form=log',
            'platform.platform.writes_per_s=400',
            'platform.platform.reads_per_s=2000',
            'platform.platform.keep_s=300',
            'terms.contracts=base,drain,config,cost,retry,recover,pressure,'
            'platform',
            'terms.fault_tolerance.machines=2',
            'terms.fault_tolerance.zones=1',
            'terms.fault_tolerance.regions=0',
            'terms.bounds.seed_lag_s=3',
            'terms.bounds.addr_reuse_s=2',
            'terms.bounds.stable_window_s=3',
            'terms.bounds.ack_s=4',
            'terms.bounds.catch_up_s=4',
            'terms.bounds.drain_s=2',
            'terms.bounds.grace_s=6',
            'terms.bounds.loss_slack_s=0.2',
            'terms.bounds.config_apply_s=2',
            'terms.bounds.rollback_slack_s=0.25',
            'terms.bounds.max_stretch_s=5',
            'terms.bounds.retry_budget_ratio=0.2',
            'terms.bounds.budget_window_s=10',
            'terms.bounds.retry_budget_slack=47',
            'terms.bounds.recovery_s=15',
        ]


#: Writes the answer to a request on the connection that it came on.
Behaviour = Callable[
    ['Server', Message, asyncio.StreamWriter, dict], Awaitable[None]
]


class Server:
    """A backend server; ``runs`` are the attempt ids that it has run."""

    def __init__(
        self,
        instance: str,
        node: Node,
        record: Record,
        slots: int = 65,
        behaviour: Behaviour | None = None,
    ) -> None:
        self.instance, self.node, self.slots = instance, node, slots
        self.behaviour = behaviour or answer_soundly
        self.work_s = 0.05
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs: list[tuple[str, float]] = []
        self.record = record
        self.writers: set[asyncio.StreamWriter] = set()
        self._pinging: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and announce the server every ``HEARTBEAT_S``."""
        host, _, port = self.node.server_address.rpartition(':')
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), limit=2**20, backlog=512
        )
        self._pinging = asyncio.create_task(self._ping_regularly())

    def run(self, request: Message) -> str:
        """Note that a request runs; return its attempt id."""
        attempt = request.header('X-Attempt-Id') or ''
        self.runs.append((attempt, time.monotonic()))
        self.record.write('run', server=self.instance, attempt=attempt)
        return attempt

    def ping_body(self) -> dict:
        """Return the announcement of the present state."""
        return {
            'address': self.node.server_address,
            'born': self.born_ms,
            'info': {
                'service': self.node.service,
                'version': 'v1',
                'zone': self.node.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'cold_left_s': 0,
            },
        }

    async def ping(self) -> bool:
        """Announce the state; return whether that was acknowledged."""
        self.sequence += 1
        return await send_ping(self.node, self.instance, self.ping_body())

    async def _ping_regularly(self) -> None:
        while True:
            await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self) -> None:
        """Say that it is gone, then end with all its connections."""
        self._pinging.cancel()
        path = f'/bergamotmount/instances/{self.instance}'
        packed = pack(f'DELETE {path} HTTP/1.1', [('Host', 'control')])
        await ask(self.node.control, packed, 1)
        self._listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        memory: dict = {}
        self.writers.add(writer)
        with contextlib.suppress(*ENDS):
            while not writer.is_closing():
                request = await read_message(reader)
                await self._answer(request, writer, memory)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message, writer, memory: dict) -> None:
        if request.target == '/healthz':
            status = 200 if self.state == 'ready' else 503
            writer.write(
                pack(
                    f'HTTP/1.1 {status} X', [('X-Instance-Id', self.instance)]
                )
            )
            return
        target = request.header('X-Target-Instance')
        if target not in {None, self.instance}:
            headers = [
                ('X-Attempt-Id', request.header('X-Attempt-Id') or ''),
                ('X-Not-Executed', '1'),
            ]
            writer.write(pack('HTTP/1.1 421 Misdirected Request', headers))
            return
        await self.behaviour(self, request, writer, memory)


async def answer_soundly(
    server: Server, request: Message, writer, _: dict
) -> None:
    """Run a request and answer it."""
    attempt = server.run(request)
    await asyncio.sleep(server.work_s)
    writer.write(success(attempt, b'done ' + attempt.encode()))
    await writer.drain()


def success(attempt: str, body: bytes) -> bytes:
    """Return the answer of a server that has run a request."""
    headers = [('X-Attempt-Id', attempt), ('X-Response-Stamp', f's.{attempt}')]
    return pack('HTTP/1.1 200 OK', headers, body)


async def send_ping(node: Node, instance: str, body: dict) -> bool:
    """Send an announcement; return whether it was acknowledged in a second."""
    packed = pack(
        f'PUT /bergamotmount/instances/{instance} HTTP/1.1',
        [('Host', 'control'), ('Content-Type', 'application/json')],
        json.dumps(body).encode(),
    )
    answer = await ask(node.control, packed, 1)
    return answer is not None and answer.status == 200


async def ask(address: str, packed: bytes, timeout_s: float) -> Message | None:
    """Return the answer to a request on a new connection, or ``None``."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=2**20
            )
            writer.write(packed)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def request_bytes(
    host: str,
    path: str,
    attempt: str,
    limit_ms: int,
    method: str = 'POST',
    body: bytes = b'',
) -> bytes:
    """Encode a request of a caller."""
    headers = [
        ('Host', host),
        ('X-Attempt-Id', attempt),
        ('X-Deadline-Ms', str(limit_ms)),
    ]
    return pack(f'{method} {path} HTTP/1.1', headers, body)


def route(
    name: str, service: str, kind: str, timeout_s: float, attempts: int = 2
) -> dict:
    """Return a route of a manifest, at host ``NAME.example``."""
    return {
        'name': name,
        'host': f'{name}.example',
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_s': timeout_s,
        'target_latency_s': 1.5,
        'priority': 0,
        'service': service,
        'max_attempts': attempts,
    }


def manifest(routes: list[dict], services: list[str]) -> dict:
    """Return a manifest with the limits that the pages show."""
    return {
        'version': '00000007',
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_connections': 490,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


class Lab:
    """One small deployment, for the time of a case."""

    def __init__(self, case_file: str) -> None:
        self.case_folder = pathlib.Path(case_file).resolve().parent
        self.record = Record(self.case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.nodes: list[Node] = []
        self.servers: list[Server] = []

    def add(
        self, name: str, zone: str, service: str, memory_mb: int = 300, **server
    ) -> tuple[Node, Server]:
        """Add a machine with its node and its server."""
        node = Node(
            name, zone, service, self.store, self.record, self.folder, memory_mb
        )
        backend = Server(f'i-{name}', node, self.record, **server)
        self.nodes.append(node)
        self.servers.append(backend)
        return node, backend

    async def start(self, policy: dict) -> None:
        """Start everything; return once each node is ready and settled."""
        await self.store.start()
        self.store.publish(policy)
        for node in self.nodes:
            await node.start()
        for server in self.servers:
            await server.start()
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for node in self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f'{node.name} is not ready')
                await asyncio.sleep(0.2)
        # Announcements, and news of them, are through after this time.
        await asyncio.sleep(5)
        self.record.write('ready', nodes=len(self.nodes))

    @staticmethod
    async def is_ready(node: Node) -> bool:
        """Ask a node as the platform does."""
        packed = pack(
            'GET /bergamotmount/readyz HTTP/1.1', [('Host', 'ready')]
        )
        answer = await ask(node.ready, packed, 1)
        return answer is not None and answer.status == 200

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            await node.end()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file: str, play: Callable[[Lab], Awaitable[int]]) -> None:
    """Run a case and exit with its code."""

    async def run() -> int:
        random.seed(int(os.environ.get('SEED', '1')))
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, playing.cancel
            )
        lab = Lab(case_file)
        lab.record.write('start', trouble=int(TROUBLE))
        try:
            async with asyncio.timeout(115):
                code = await play(lab)
        except (Exception, asyncio.CancelledError) as error:
            lab.record.write('could-not-run', error=repr(error))
            code = COULD_NOT_RUN
        finally:
            await lab.close()
        verdict = {HELD: 'held', BROKEN: 'broken'}.get(code, 'could not run')
        lab.record.write('end', verdict=verdict)
        print(verdict)
        return code

    sys.exit(asyncio.run(run()))
