"""Node process on the platform: command line, listeners and signals."""

import argparse
import asyncio
import functools
import gc
import os
import random
import signal
import sys

import uvloop

from bergamotmount.adapters.plaincounters import PlainCounters
from bergamotmount.allocator import map_large_blocks
from bergamotmount.clock import Clock
from bergamotmount.fieldchecks import is_address
from bergamotmount.forwarding.httpclient import ConnectionPool
from bergamotmount.forwarding.httpconnection import (
    Handler,
    HttpLimits,
)
from bergamotmount.forwarding.httpserver import HttpServer, ServerBounds
from bergamotmount.forwarding.node import ForwardingNode
from bergamotmount.forwarding.options import (
    ForwardingOptions,
    ForwardingPorts,
    StopTimes,
)
from bergamotmount.forwarding.retrybudget import RetryBudgetOptions
from bergamotmount.incarnation import new_incarnation
from bergamotmount.log import PendingLines, part_logger, start_logging
from bergamotmount.member import Member
from bergamotmount.memoryaccount import HoldingKind, MemoryAccount
from bergamotmount.organisations.freshness import lease_for
from bergamotmount.platform.control import ControlServer
from bergamotmount.platform.names import HEADERS
from bergamotmount.platform.policyrecord import parse_record
from bergamotmount.platform.settings import (
    PlatformSettings,
    changed_fields,
    read_platform_settings,
)
from bergamotmount.platform.store import PlatformStore
from bergamotmount.processlimits import ProcessLimits
from bergamotmount.settingserror import SettingsError
from bergamotmount.supervision import keep_running
from bergamotmount.wire.peerlistener import PeerListener
from bergamotmount.wire.tcp import TcpDialer

#: Environment variable that holds the path of the settings file.
CONFIG_VARIABLE = 'BERGAMOTMOUNT_CONFIG'

#: Exit code for invalid settings.
EXIT_SETTINGS = 2

#: Exit code for an address that can't be bound.
EXIT_ADDRESS = 3

#: Net allocations before the garbage collector scans the youngest generation.
GC_THRESHOLD = 50_000

#: Announcements that a server may miss before its lease expires.
MAX_MISSED_ANNOUNCEMENTS = 3

#: Time for which a stopping node still accepts requests of callers.
STOP_NOTICE_MS = 2500

#: Time reserved between the deadline of a graceful stop and SIGKILL.
STOP_MARGIN_MS = 700

#: Interval at which the timeouts of operators' connections are checked.
DOOR_CHECK_INTERVAL_MS = 1000

#: Maximum size of the body of an announcement, or of what an operator sends.
MAX_DOOR_BODY_BYTES = 64 * 1024

_log = part_logger('daemon')


def main() -> None:
    """Run the node until it receives SIGTERM or SIGINT."""
    arguments = _parser().parse_args()
    try:
        settings = read_platform_settings(arguments.config)
        advertised = check_advertised(arguments.advertise)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_SETTINGS)
    log = start_logging('info', 'json', sys.stdout)
    map_large_blocks()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        daemon = PlatformDaemon(
            settings, arguments.config, log.lines, advertised
        )
        uvloop.run(daemon.run())
    except OSError as error:
        _log.error('Cannot listen: {}.', error)
        sys.exit(EXIT_ADDRESS)


class PlatformDaemon:
    """The node of this process, with its listeners."""

    def __init__(
        self,
        settings: PlatformSettings,
        path: str,
        log_lines: PendingLines,
        advertised: str = '',
    ) -> None:
        """Create the node; ``path`` is the file read again on SIGHUP.

        Other nodes are told to connect to ``advertised``, or by default to
        the address at which this node listens for them.
        """
        self._settings = settings
        self._path = path
        clock = Clock()
        self._clock = clock
        self._counters = PlainCounters()
        self._counters.watch('log_lines_left_out', lambda: log_lines.left_out)
        rng = random.Random()
        limits = settings.limits.within_system()
        self._limits = limits
        self._account = MemoryAccount(clock, limits.account_bytes)
        ports = ForwardingPorts(
            clock,
            TcpDialer(self._counters, self._is_in_remote_domain, self._account),
            PlatformStore(clock, settings.store_address),
            parse_record,
            self._counters,
            rng,
            functools.partial(ConnectionPool, account=self._account),
            self._account,
        )
        self.node = ForwardingNode(
            _local_member(settings, advertised or settings.peer_address),
            _options(settings, limits),
            ports,
        )
        control = ControlServer(self.node, settings.server_address)
        self._ready_server = self._door(control.handle_ready)
        self._control_server = self._door(control.handle_control)
        self._metrics_server = self._door(self._counters.handle)
        self._peer_listener = PeerListener(
            self.node.peer_server.serve,
            self._counters,
            self._account,
            limits.max_peers,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_exception)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await stopping.wait()
        _log.info('Node {} stops.', self._settings.node)
        await self.node.stop()
        await self._peer_listener.close()
        _log.info('Node {} has stopped.', self._settings.node)

    async def _start(self) -> None:
        settings = self._settings
        await self._peer_listener.start(settings.peer_address)
        await self._control_server.start(settings.control_address)
        await self._ready_server.start(settings.ready_address)
        await self._metrics_server.start(settings.metrics_address)
        await self.node.caller_server.start(settings.caller_address)
        self.node.start()
        self._checks = asyncio.create_task(
            keep_running(self._clock, self._check_doors)
        )
        _log.info('Node {} is up.', settings.node)

    async def _check_doors(self) -> None:
        """End connections that are idle or slow, at all other addresses."""
        doors = (self._ready_server, self._control_server, self._metrics_server)
        while True:
            await self._clock.sleep(DOOR_CHECK_INTERVAL_MS)
            for door in doors:
                door.check_timeouts()

    def _door(self, handler: Handler) -> HttpServer:
        """Return the server of an address that isn't for callers."""
        bounds = ServerBounds(
            self._account,
            HoldingKind.OPERATOR,
            self._limits.max_door_connections,
            self._counters.dropped,
        )
        limits = HttpLimits(max_body_bytes=MAX_DOOR_BODY_BYTES)
        return HttpServer(
            self._clock, handler, limits, _log_malformed, bounds=bounds
        )

    def _is_in_remote_domain(self, address: str) -> bool:
        return self.node.members.is_in_remote_domain(address)

    def _reload(self) -> None:
        try:
            settings = read_platform_settings(self._path)
        except SettingsError as error:
            _log.warning('Settings not read again: {}.', error)
            return
        changed = changed_fields(self._settings, settings)
        _log.info(
            'Settings read again, effective at the next start: {}.',
            ', '.join(changed) or 'nothing changed',
        )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.platform',
        description='Run the node beside one backend server.',
    )
    parser.add_argument(
        '--config',
        default=os.environ.get(CONFIG_VARIABLE, ''),
        metavar='FILE',
        help=f'settings; by default the file that {CONFIG_VARIABLE} names',
    )
    parser.add_argument(
        '--advertise',
        default='',
        metavar='IP:PORT',
        help='where other nodes reach this one, if that is not where it '
        'listens, for example a proxy',
    )
    return parser


def check_advertised(address: str) -> str:
    """Return the address; raise :class:`SettingsError` if it is none."""
    if address and not is_address(address):
        raise SettingsError([f'--advertise: {address!r} is not an address'])
    return address


def _local_member(settings: PlatformSettings, address: str) -> Member:
    return Member(
        settings.node,
        address,
        settings.region,
        settings.failure_domain,
        new_incarnation(),
        admin=settings.metrics_address,
    )


def _options(
    settings: PlatformSettings, limits: ProcessLimits
) -> ForwardingOptions:
    return ForwardingOptions(
        service=settings.service,
        lease_ms=settings.announce_interval_ms * MAX_MISSED_ANNOUNCEMENTS,
        retry=RetryBudgetOptions.within(
            settings.retry_ratio,
            settings.retry_window_ms,
            settings.retry_slack,
        ),
        stop=StopTimes(
            STOP_NOTICE_MS, settings.termination_grace_ms - STOP_MARGIN_MS
        ),
        header_names=HEADERS,
        is_first_start=settings.is_first_start,
        policy_lease_ms=lease_for(settings.key_withdrawal_ms),
        policy_apply_ms=settings.policy_apply_ms,
        quota=settings.quota,
        limits=limits,
    )


def _log_malformed(reason: str) -> None:
    _log.warning('Malformed request: {}.', reason)


def _log_exception(_loop: object, context: dict[str, object]) -> None:
    _log.error('{}: {!r}.', context['message'], context.get('exception'))
