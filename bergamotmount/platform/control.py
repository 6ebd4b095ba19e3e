"""HTTP handlers for the backend server's announcements and for readiness."""

import time

import msgspec

from bergamotmount.fieldchecks import MAX_NAME_CHARS, is_name
from bergamotmount.forwarding.announcements import Announcement
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    HttpReply,
    RemoteAddress,
)
from bergamotmount.forwarding.node import ForwardingNode
from bergamotmount.jsoninput import JsonError, decode_json
from bergamotmount.log import part_logger
from bergamotmount.platform import names

#: Upper bound of the slots of a server, well within a message's field.
MAX_SLOTS = 1_000_000

#: Upper bound of the sequence number of an announcement.
MAX_SEQUENCE = 2**53

#: Time by which a server's clock may be ahead when it states its start.
MAX_CLOCK_LEAD_MS = 24 * 60 * 60 * 1000

#: Upper bound of the time for which a server stays slow after its start.
MAX_SLOW_START_S = 3600

_MS_PER_SECOND = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = ('Content-Type', 'application/json')
_STATES = frozenset(('ready', 'draining'))

_log = part_logger('control')


class _ServerInfo(msgspec.Struct):
    service: str
    slots: int
    # Not used, but an announcement without them is none of a server.
    zone: str
    version: str


class _ServerStatus(msgspec.Struct):
    state: str
    sequence: int
    cold_left_s: float = 0


class _AnnouncementBody(msgspec.Struct):
    address: str
    status: _ServerStatus
    server_info: _ServerInfo = msgspec.field(name='info')
    born: int = 0


_decoder = msgspec.json.Decoder(_AnnouncementBody)


class ControlServer:
    """Handles announcements of the backend server and readiness probes."""

    def __init__(self, node: ForwardingNode, server_address: str) -> None:
        """Pass announcements of ``server_address`` to ``node``."""
        self._node = node
        self._server_address = server_address

    async def handle_ready(
        self, request: HttpRequest, _: RemoteAddress
    ) -> HttpReply:
        """Return 200 if this node can receive requests of callers, else 503."""
        if request.path != names.READY_PATH:
            return HttpReply(_NOT_FOUND)
        return HttpReply(_OK if self._node.is_ready else _UNAVAILABLE)

    async def handle_control(
        self, request: HttpRequest, _: RemoteAddress
    ) -> HttpReply:
        """Handle an announcement (PUT) or a departure (DELETE)."""
        if not request.path.startswith(names.INSTANCES_PATH):
            return HttpReply(_NOT_FOUND)
        instance = request.path.removeprefix(names.INSTANCES_PATH)
        if not is_name(instance):
            return self._reject(instance, 'not the name of a server')
        match request.method:
            case 'PUT':
                return self._announce(instance, request.body)
            case 'DELETE':
                self._node.local_server.depart(instance)
                return HttpReply(_OK, list(_JSON), b'{}')
        return HttpReply(_NOT_FOUND)

    def _announce(self, instance: str, body: bytes) -> HttpReply:
        try:
            announced = decode_json(_decoder.decode, body)
        except JsonError as error:
            return self._reject(instance, str(error))
        problem = _find_odd_field(announced) or self._find_problem(announced)
        if problem:
            return self._reject(instance, problem)
        self._node.local_server.announce(
            Announcement(
                instance=instance,
                process_start_ms=announced.born,
                sequence=announced.status.sequence,
                address=announced.address,
                service=announced.server_info.service,
                slots=announced.server_info.slots,
                is_draining=announced.status.state == 'draining',
                remaining_slow_start_ms=announced.status.cold_left_s
                * _MS_PER_SECOND,
            ),
        )
        return HttpReply(_OK, list(_JSON), b'{}')

    def _find_problem(self, announced: _AnnouncementBody) -> str:
        if announced.address != self._server_address:
            return 'unexpected address'
        table = self._node.policy_source.table
        services = None if table is None else table.policy.service_by_name
        if (
            services is not None
            and announced.server_info.service not in services
        ):
            return 'unknown service'
        return ''

    def _reject(self, instance: str, problem: str) -> HttpReply:
        shown = instance[:MAX_NAME_CHARS]
        _log.warning('Announcement of {!r} rejected: {}.', shown, problem)
        return HttpReply(_BAD_REQUEST)


def _find_odd_field(announced: _AnnouncementBody) -> str:
    """Return what is wrong with an announcement, whoever makes it."""
    status, server_info = announced.status, announced.server_info
    latest_ms = time.time() * _MS_PER_SECOND + MAX_CLOCK_LEAD_MS
    bounds = (
        ('slots', server_info.slots, 1, MAX_SLOTS),
        ('sequence', status.sequence, 0, MAX_SEQUENCE),
        ('born', announced.born, 0, latest_ms),
        ('cold_left_s', status.cold_left_s, 0, MAX_SLOW_START_S),
    )
    for name, number, minimum, maximum in bounds:
        if not minimum <= number <= maximum:
            return f'{name} is not between {minimum} and {maximum:.0f}'
    if status.state not in _STATES:
        return 'unknown state'
    return '' if is_name(server_info.service) else 'service is not a name'
