"""The daemon ``bergamotmountd``: runs one node beside a backend server."""

import argparse
import asyncio
import gc
import random
import signal
import sys

import uvloop
from aiohttp import web
from prometheus_client import CollectorRegistry

from bergamotmount import __version__, events
from bergamotmount.acceptance import Verdict, VerdictKind
from bergamotmount.adapters.admin import AdminServer
from bergamotmount.adapters.callers import CallerServer
from bergamotmount.adapters.log import HttpLog
from bergamotmount.adapters.metrics import NodeCollector, PrometheusCounters
from bergamotmount.adapters.server import HttpBackendServer
from bergamotmount.clock import Clock
from bergamotmount.distribution import DistributionTimes
from bergamotmount.heartbeats import HeartbeatTimes
from bergamotmount.incarnation import new_incarnation
from bergamotmount.log import part_logger, start_logging
from bergamotmount.member import Member
from bergamotmount.memoryaccount import MemoryAccount
from bergamotmount.node import Node, NodeIdentity, NodeOptions, NodePorts
from bergamotmount.processlimits import ProcessLimits
from bergamotmount.settings import Settings, read_settings
from bergamotmount.shedlog import ShedLog
from bergamotmount.settingserror import SettingsError
from bergamotmount.wire.peerlistener import PeerListener
from bergamotmount.wire.tcp import TcpDialer

#: Exit code for invalid settings.
EXIT_SETTINGS = 2

#: Exit code for an address that can't be bound.
EXIT_ADDRESS = 3

#: Net allocations before the garbage collector scans the youngest generation.
GC_THRESHOLD = 50_000

_node_log = part_logger('node')
_policy_log = part_logger('policy')
_members_log = part_logger('members')


def main() -> None:
    """Run the daemon until it receives SIGTERM or SIGINT."""
    arguments = _parser().parse_args()
    try:
        settings = read_settings(arguments.config)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        sys.stdout.write(f'{arguments.config}: settings are valid\n')
        return
    start_logging(settings.log.level, settings.log.format)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        uvloop.run(run_daemon(settings))
    except OSError as error:
        _node_log.error('Cannot listen: {}.', error)
        sys.exit(EXIT_ADDRESS)


class Daemon:
    """The node of this process, with its listeners and clients.

    Must be created in a running event loop.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the node, its clients and its listeners."""
        self._settings = settings
        self._registry = CollectorRegistry()
        counters = PrometheusCounters(self._registry)
        clock = Clock()
        limits = ProcessLimits(**settings.limits.model_dump()).within_system()
        account = MemoryAccount(clock, limits.account_bytes)
        ShedLog(clock, account, counters)
        self._log = HttpLog(settings.join.log_url)
        self._server = HttpBackendServer(
            clock,
            settings.server.url,
            settings.server.connections,
            settings.server.max_answer_bytes,
        )
        ports = NodePorts(
            clock,
            TcpDialer(counters, account=account),
            self._log,
            self._server,
            counters,
            random.Random(),
            account,
        )
        self.node = Node(_identity(settings), _options(settings), ports)
        self._registry.register(NodeCollector(self.node))
        self._peers = PeerListener(
            self.node.peer_server.serve, counters, account, limits.max_peers
        )
        self._callers = CallerServer(
            self.node.egress,
            self.node.issuer,
            settings.callers.max_body_bytes,
            account,
            limits.max_callers,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_exception)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        await self.start()
        await stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Start listeners and node; raise ``OSError`` if a bind fails."""
        listen = self._settings.listen
        peers = await self._peers.start(listen.peers)
        _node_log.info('Peers are served on {}.', peers)
        self._caller_runner = web.ServerRunner(self._callers.make_server())
        await _start_site(self._caller_runner, listen.callers)
        admin = AdminServer(self.node, self._registry)
        self._admin_runner = web.AppRunner(
            admin.make_application(),
            access_log=None,
        )
        await _start_site(self._admin_runner, listen.admin)
        _subscribe_to_events()
        self.node.start()
        _node_log.info('Node {} is up.', self._settings.node.name)

    async def stop(self) -> None:
        """Stop gracefully: requests in flight are answered first."""
        _node_log.info('Node {} is draining.', self._settings.node.name)
        self._callers.disable_keep_alive()
        await self.node.drain()
        for site in list(self._caller_runner.sites):
            await site.stop()
        await self.node.leave()
        await self._peers.close()
        await self._caller_runner.cleanup()
        await self._admin_runner.cleanup()
        await self._server.close()
        await self._log.close()
        _node_log.info('Node {} has stopped.', self._settings.node.name)


async def run_daemon(settings: Settings) -> None:
    """Run a node with these settings until SIGTERM or SIGINT."""
    await Daemon(settings).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bergamotmountd',
        description='Run the node beside one backend server.',
        epilog='SIGTERM stops gracefully. docs/settings.md lists all options.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--config',
        required=True,
        metavar='FILE',
        help='settings in INI form',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit; exit code 2 means errors',
    )
    return parser


def _identity(settings: Settings) -> NodeIdentity:
    return NodeIdentity(
        settings.node.name,
        settings.listen.peers,
        settings.node.region,
        settings.node.failure_domain,
        new_incarnation(),
        settings.listen.admin,
    )


def _options(settings: Settings) -> NodeOptions:
    return NodeOptions(
        settings.tickets.key,
        settings.join.seeds,
        settings.tickets.life_ms,
        HeartbeatTimes(**settings.heartbeat.model_dump()),
        DistributionTimes(**settings.policy.model_dump()),
    )


async def _start_site(runner: web.BaseRunner, address: str) -> None:
    host, _, port = address.rpartition(':')
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    _node_log.info('HTTP is served on {}.', address)


def _log_exception(_loop: object, context: dict[str, object]) -> None:
    _node_log.error('{}: {!r}.', context['message'], context.get('exception'))


def _subscribe_to_events() -> None:
    events.record_decided.connect(_log_verdict)
    events.policy_accepted.connect(_log_policy)
    events.log_changed.connect(_log_reachability)
    events.member_changed.connect(_log_member)


def _log_verdict(_sender: object, verdict: Verdict) -> None:
    if verdict.kind in {VerdictKind.ACCEPTED, VerdictKind.CHECKPOINT}:
        return
    _policy_log.warning(
        'Record {} at offset {} is not active: {}. {}',
        verdict.record_id,
        verdict.offset,
        verdict.kind,
        verdict.detail,
    )


def _log_policy(_sender: object, offset: int) -> None:
    _policy_log.info('Policy up to offset {} is active.', offset)


def _log_reachability(_sender: object, reachable: bool) -> None:
    if reachable:
        _policy_log.info('The log service is reachable.')
    else:
        _policy_log.warning('The log service is unreachable.')


def _log_member(_sender: object, member: Member) -> None:
    _members_log.info(
        'Node {} is {} at {}, incarnation {}, version {}.',
        member.node,
        member.state.name.lower(),
        member.address,
        member.incarnation,
        member.version,
    )
