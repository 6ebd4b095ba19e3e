"""A small deployment: nodes as processes of the deploy file, on loopback."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback

from review.standins.http import ask, pack
from review.standins.record import Record
from review.standins.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: A loopback address of this run, so that runs side by side don't meet.
HOST = f'127.{random.randrange(64, 128)}.{random.randrange(256)}.1'

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 1048576,
    'header_timeout_s': 3,
    'idle_timeout_s': 15,
}


class NotRunError(Exception):
    """The case couldn't run."""


def require(is_met: bool, what: str) -> None:
    """End the case as not run unless the deployment does its usual work."""
    if not is_met:
        raise NotRunError(what)


class Portion:
    """Picks a part of all things at random, and never more than its share."""

    def __init__(self, share: float, rng: random.Random) -> None:
        self.seen = 0
        self.picked = 0
        self._share = share
        self._rng = rng

    def pick(self) -> bool:
        self.seen += 1
        is_within = self.picked + 1 <= self.seen * self._share
        # Drawn more often than the share, so that the bound decides.
        if is_within and self._rng.random() < 0.5:
            self.picked += 1
            return True
        return False


def _take_sighup() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def is_troubled() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


class _Ports:
    """Hands out ports that are free now, below the ephemeral range."""

    def __init__(self) -> None:
        self._used: set[int] = set()

    def take(self, count: int = 1) -> int:
        """Return the first of some free ports in a row."""
        for _ in range(1000):
            first = random.randrange(12000, 30000)
            ports = range(first, first + count)
            if not self._used & set(ports) and all(map(_is_free, ports)):
                self._used.update(ports)
                return first
        raise NotRunError('no free ports')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Node:
    """One node; its process is started again with the same settings."""

    def __init__(self, lab: 'Lab', name: str, zone: str, service: str) -> None:
        ports = lab.ports
        self.name = name
        self.zone = zone
        self.service = service
        self.heartbeat_s = 1.5
        self.app_address = f'{HOST}:{ports.take()}'
        self.caller_address = f'{HOST}:{ports.take()}'
        self.ready_address = f'{HOST}:{ports.take()}'
        self.control_address = f'{HOST}:{ports.take()}'
        self.inbound_address = f'{HOST}:{ports.take()}'
        self.first_port = ports.take(16)
        self.store_address = lab.store_address
        self._lab = lab
        self._starts = 0
        self.process: subprocess.Popen | None = None
        self.more_settings: list[str] = []

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        lab = self._lab
        path = lab.folder / f'{self.name}.conf'
        path.write_text('\n'.join(self._settings()) + '\n', encoding='utf-8')
        self._starts += 1
        log = (lab.folder / f'{self.name}.{self._starts}.log').open('wb')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BERGAMOTMOUNT_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.process = subprocess.Popen(
            lab.command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            # A script that runs under nohup would hand on that it is ignored.
            preexec_fn=_take_sighup,
        )
        log.close()
        lab.record.note(self.name, 'start', pid=self.process.pid)

    def send_signal(self, number: int) -> None:
        self._lab.record.note(
            self.name, 'signal', name=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def ended(self, timeout_s: float) -> int | None:
        """Return the exit code, ``None`` if the process still runs."""
        end_s = self._lab.record.now_s() + timeout_s
        while self._lab.record.now_s() < end_s:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.01)
        return self.process.poll()

    async def is_ready(self) -> bool:
        packed = pack(
            'GET /bergamotmount/readyz HTTP/1.1', {'Host': self.ready_address}
        )
        answer = await ask(self.ready_address, packed, 1)
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 15) -> None:
        end_s = self._lab.record.now_s() + timeout_s
        while not await self.is_ready():
            code = self.process.poll()
            if code is not None or self._lab.record.now_s() > end_s:
                raise NotRunError(f'{self.name} is not ready, exit code {code}')
            await asyncio.sleep(0.05)
        self._lab.record.note(self.name, 'ready')

    def _settings(self) -> list[str]:
        zones = sorted({node.zone for node in self._lab.nodes})
        return [
            f'local_node.node_name={self.name}',
            'local_node.role=node',
            'local_node.machine_class=sidecar',
            'local_node.serves=sidecar',
            f'local_node.ip={HOST}',
            f'local_node.zone={self.zone}',
            'local_node.region=north',
            'local_node.in_fault_budget=false',
            f'local_node.bootstrap={"false" if self._starts else "true"}',
            'local_node.limits.cpu_share=0.86',
            'local_node.limits.cpu_cores=2',
            'local_node.limits.memory_mb=300',
            'local_node.limits.max_fds=4100',
            'local_node.limits.link_mbps=1000.0',
            'local_node.limits.disk_mb=0',
            f'local_node.app_addr={self.app_address}',
            f'local_node.service={self.service}',
            f'network.listen_addrs.inbound={self.inbound_address}',
            f'network.listen_addrs.outbound={self.caller_address}',
            f'network.listen_addrs.ready={self.ready_address}',
            f'network.listen_addrs.control={self.control_address}',
            f'network.port_range={self.first_port},{self.first_port + 15}',
            'network.seeds=',
            *(f'network.zones.{zone}=north' for zone in zones),
            'platform.discovery=static',
            'platform.entry_mode=static',
            f'platform.heartbeat_s={self.heartbeat_s}',
            f'platform.platform.address={self.store_address}',
            'platform.platform.form=log',
            'platform.platform.writes_per_s=400',
            'platform.platform.reads_per_s=2000',
            'platform.platform.parts=32',
            'platform.platform.record_bytes=262144',
            'platform.platform.call_bytes=2097152',
            'platform.platform.keep_s=20',
            'platform.platform.min_ttl_s=1',
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
            *self.more_settings,
        ]


class Lab:
    """The store, the nodes and the record of one case."""

    def __init__(self, folder: pathlib.Path) -> None:
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRunError('target/deps is missing: build first')
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self.command = deploy['roles']['node']['run'].split(' ')
        self.record = Record(folder / 'record.txt')
        self.ports = _Ports()
        self.nodes: list[Node] = []
        self.store = Store(self.record)
        self.store_address = f'{HOST}:{self.ports.take()}'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    def add_node(self, name: str, zone: str, service: str) -> Node:
        node = Node(self, name, zone, service)
        self.nodes.append(node)
        return node

    async def start(self, routes: list[dict], services: list[str]) -> None:
        """Start the store with a first manifest, then all nodes."""
        host, _, port = self.store_address.rpartition(':')
        await self.store.start(host, int(port))
        self.store.publish(manifest(1, routes, services))
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            process = node.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if 'KEEP' not in os.environ:
            shutil.rmtree(self.folder)


def manifest(version: int, routes: list[dict], services: list[str]) -> dict:
    return {
        'version': f'{version:08x}',
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz'} for name in services
        ],
        'limits': _LIMITS,
    }


def route(name: str, service: str, kind: str, **changes: object) -> dict:
    return {
        'name': name,
        'host': 'shop.example',
        'path_prefix': f'/{name}/',
        'service': service,
        'route_type': kind,
        'timeout_s': 5,
        'target_latency_s': 1.5,
        'max_attempts': 2,
        'priority': 0,
        **changes,
    }


def request(
    method: str, name: str, attempt: str, deadline_ms: int = 5000
) -> bytes:
    body = b'' if method == 'GET' else b'order'
    headers = {
        'Host': 'shop.example',
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': str(deadline_ms),
    }
    if method != 'GET':
        headers['Content-Length'] = str(len(body))
    return pack(f'{method} /{name}/1 HTTP/1.1', headers, body)


def run(case, folder: str) -> None:
    """Run ``case(lab)``, which returns whether the rule held; then exit."""
    sys.exit(asyncio.run(_run(case, pathlib.Path(folder))))


async def _run(case, folder: pathlib.Path) -> int:
    lab = None
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        lab = Lab(folder)
        async with asyncio.timeout(115):
            has_held = await case(lab)
    except (Exception, asyncio.CancelledError) as error:
        if not isinstance(error, NotRunError):
            traceback.print_exc()
        print(f'not run: {error!r}', flush=True)
        return EXIT_NOT_RUN
    finally:
        if lab is not None:
            with contextlib.suppress(ProcessLookupError):
                lab.end()
    lab.record.say('rule held' if has_held else 'rule broken')
    return EXIT_HELD if has_held else EXIT_BROKEN
