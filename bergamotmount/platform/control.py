"""Announcements of the backend server, and readiness, over HTTP."""

import msgspec

from bergamotmount.forwarding.announcements import Announcement
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    Origin,
    Reply,
)
from bergamotmount.forwarding.node import ForwardingNode
from bergamotmount.log import part_logger
from bergamotmount.platform import names

_MS_PER_SECOND = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = ('Content-Type', 'application/json')
_STATES = frozenset(('ready', 'draining'))

_log = part_logger('control')


class _About(msgspec.Struct):
    service: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    sequence: int
    cold_left_s: float = 0


class _Beat(msgspec.Struct):
    address: str
    status: _Status
    about: _About = msgspec.field(name='info')
    born: int = 0


_decoder = msgspec.json.Decoder(_Beat)


class ControlServer:
    """Answers the backend server's announcements and the platform."""

    def __init__(self, node: ForwardingNode, server_address: str) -> None:
        """Announce the server at ``server_address`` to ``node``."""
        self._node = node
        self._server_address = server_address

    async def handle_ready(self, request: HttpRequest, _: Origin) -> Reply:
        """Answer whether callers should be sent here."""
        if request.path != names.READY_PATH:
            return Reply(_NOT_FOUND)
        return Reply(_OK if self._node.is_ready else _UNAVAILABLE)

    async def handle_control(self, request: HttpRequest, _: Origin) -> Reply:
        """Take an announcement or a departure."""
        if not request.path.startswith(names.INSTANCES_PATH):
            return Reply(_NOT_FOUND)
        instance = request.path.removeprefix(names.INSTANCES_PATH)
        match request.method:
            case 'PUT':
                return self._announce(instance, request.body)
            case 'DELETE':
                self._node.own_server.depart(instance)
                return Reply(_OK, list(_JSON), b'{}')
        return Reply(_NOT_FOUND)

    def _announce(self, instance: str, body: bytes) -> Reply:
        try:
            beat = _decoder.decode(body)
        except msgspec.MsgspecError as error:
            return self._refuse(instance, str(error))
        problem = self._problem(beat)
        if problem:
            return self._refuse(instance, problem)
        self._node.own_server.announce(
            Announcement(
                instance=instance,
                born_ms=beat.born,
                sequence=beat.status.sequence,
                address=beat.address,
                service=beat.about.service,
                slots=beat.about.slots,
                is_draining=beat.status.state == 'draining',
                cold_ms=beat.status.cold_left_s * _MS_PER_SECOND,
            ),
        )
        return Reply(_OK, list(_JSON), b'{}')

    def _problem(self, beat: _Beat) -> str:
        if beat.status.state not in _STATES:
            return f'state {beat.status.state!r}'
        if beat.address != self._server_address:
            return f'address {beat.address!r}'
        if beat.about.slots < 1:
            return f'{beat.about.slots} slots'
        table = self._node.policy.table
        services = None if table is None else table.policy.service_by_name
        if services is not None and beat.about.service not in services:
            return f'service {beat.about.service!r}'
        return ''

    def _refuse(self, instance: str, problem: str) -> Reply:
        _log.warning('Announcement of {} not taken: {}.', instance, problem)
        return Reply(_BAD_REQUEST)
