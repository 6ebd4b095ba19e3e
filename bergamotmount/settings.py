"""Settings of the daemon, read from an INI file.

All faults of a file are reported together, each with section, option, what
was found and what is allowed. :data:`DEFAULTS` is the one table of defaults.
"""

import configparser
import dataclasses
import ipaddress
from typing import Annotated, Literal

import pydantic

from bergamotmount.settingserror import SettingsError

#: Defaults of all options that have one; the others must be set.
DEFAULTS = {
    'node': {'region': 'default'},
    'listen': {
        'peers': '127.0.0.1:7301',
        'callers': '127.0.0.1:7302',
        'admin': '127.0.0.1:7303',
    },
    'server': {
        'url': 'http://127.0.0.1:8000',
        'connections': '100',
        'max_answer_bytes': '1048576',
    },
    'callers': {'max_body_bytes': '1048576'},
    'join': {'seeds': '', 'log_url': 'http://127.0.0.1:7400'},
    'tickets': {'life_ms': '120000'},
    'heartbeat': {
        'interval_ms': '500',
        'suspect_ms': '1500',
        'gone_ms': '1500',
    },
    'policy': {
        'poll_ms': '2000',
        'spare_ms': '60000',
        'retry_ms': '500',
        'checkpoint_ms': '600000',
    },
    'log': {'level': 'info', 'format': 'text'},
}

_MAX_PORT = 65_535
_MIN_KEY_LENGTH = 16
_MAX_KEY_LENGTH = 64


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('an IP number and a port, as 127.0.0.1:7301') from None
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError('a port from 0 to 65535 after the IP number')
    return text


def _check_url(text: str) -> str:
    scheme, _, address = text.partition('://')
    if scheme != 'http':
        raise ValueError('a URL as http://127.0.0.1:8000')
    _check_address(address.rstrip('/'))
    return text


def _split_list(text: object) -> object:
    if isinstance(text, str):
        return tuple(text.replace(',', ' ').split())
    return text


_Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9_.-]{0,62}$')]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Url = Annotated[str, pydantic.AfterValidator(_check_url)]
_PositiveMs = Annotated[int, pydantic.Field(ge=1, le=86_400_000)]
_Bytes = Annotated[int, pydantic.Field(ge=1, le=4_000_000)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class NodeSection(_Section):
    """Who the node is."""

    name: _Name
    region: _Name
    failure_domain: _Name


class ListenSection(_Section):
    """Addresses that the node listens on."""

    peers: _Address
    callers: _Address
    admin: _Address


class ServerSection(_Section):
    """The backend server on this host."""

    url: _Url
    connections: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    max_answer_bytes: _Bytes


class CallersSection(_Section):
    """What callers may send."""

    max_body_bytes: _Bytes


class JoinSection(_Section):
    """How the node finds others."""

    seeds: Annotated[
        tuple[_Address, ...],
        pydantic.BeforeValidator(_split_list),
    ]
    log_url: _Url


class TicketsSection(_Section):
    """Tickets for requests that aren't idempotent."""

    key: Annotated[
        str,
        pydantic.Field(min_length=_MIN_KEY_LENGTH, max_length=_MAX_KEY_LENGTH),
    ]
    life_ms: _PositiveMs


class HeartbeatSection(_Section):
    """Timing of heartbeats."""

    interval_ms: _PositiveMs
    suspect_ms: _PositiveMs
    gone_ms: _PositiveMs


class PolicySection(_Section):
    """Timing of reads from the log."""

    poll_ms: _PositiveMs
    spare_ms: _PositiveMs
    retry_ms: _PositiveMs
    checkpoint_ms: _PositiveMs


class LogSection(_Section):
    """Logs of the daemon."""

    level: Literal['debug', 'info', 'warning', 'error']
    format: Literal['text', 'json']


class _File(_Section):
    node: NodeSection
    listen: ListenSection
    server: ServerSection
    callers: CallersSection
    join: JoinSection
    tickets: TicketsSection
    heartbeat: HeartbeatSection
    policy: PolicySection
    log: LogSection


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a daemon, checked."""

    node: NodeSection
    listen: ListenSection
    server: ServerSection
    callers: CallersSection
    join: JoinSection
    tickets: TicketsSection
    heartbeat: HeartbeatSection
    policy: PolicySection
    log: LogSection


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raise :class:`SettingsError` with every fault that was found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(DEFAULTS)
    try:
        with open(path, encoding='utf-8') as source:
            parser.read_file(source)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError([f'{path}: {error}']) from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return check_settings(path, sections)


def check_settings(
    path: str,
    sections: dict[str, dict[str, str]],
) -> Settings:
    """Check options by section and return the settings."""
    try:
        checked = _File.model_validate(sections)
    except pydantic.ValidationError as error:
        problems = [_describe(path, each) for each in error.errors()]
        raise SettingsError(problems) from error
    return Settings(**dict(checked))


def _describe(path: str, problem) -> str:
    section, *options = map(str, problem['loc'])
    option = '.'.join(options)
    where = f'{path}: [{section}] {option}'.rstrip()
    match problem['type']:
        case 'missing':
            return f'{where}: not set, and it has no default'
        case 'extra_forbidden':
            return f'{where}: no such section or option'
        case _:
            allowed = problem['msg'].removeprefix('Value error, ')
            found = problem['input']
            return f'{where}: found {found!r}, allowed: {allowed}'
