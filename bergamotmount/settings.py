"""Settings of the daemon, read from an INI file.

All errors of a file are reported together, each with section, option, the
value found and the values allowed. :data:`DEFAULTS` holds all defaults.
"""

import configparser
import dataclasses
import ipaddress
from typing import Annotated, Literal

import pydantic

from bergamotmount.fieldchecks import is_port
from bergamotmount.settingserror import SettingsError

#: Defaults by section and option; options without a default are required.
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
        'poll_ms': '1000',
        'spare_ms': '60000',
        'retry_ms': '500',
        'checkpoint_ms': '600000',
    },
    'limits': {'memory_mb': '300', 'max_fds': '4100'},
    'log': {'level': 'info', 'format': 'text'},
}

_MIN_KEY_LENGTH = 16
_MAX_KEY_LENGTH = 64


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            'an IP address and a port such as 127.0.0.1:7301'
        ) from None
    is_any_port = separator and port == '0'
    if not is_any_port and not is_port(port):
        raise ValueError('a port from 0 to 65535 after the IP address')
    return text


def _check_url(text: str) -> str:
    scheme, _, address = text.partition('://')
    if scheme != 'http':
        raise ValueError('a URL such as http://127.0.0.1:8000')
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
    """Identity of the node."""

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
    """Limits on requests of callers."""

    max_body_bytes: _Bytes


class JoinSection(_Section):
    """Discovery of other nodes."""

    seeds: Annotated[
        tuple[_Address, ...],
        pydantic.BeforeValidator(_split_list),
    ]
    log_url: _Url


class TicketsSection(_Section):
    """Signing key and validity of tickets for non-idempotent requests."""

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
    """Timing of policy reads and checkpoints."""

    poll_ms: _PositiveMs
    spare_ms: _PositiveMs
    retry_ms: _PositiveMs
    checkpoint_ms: _PositiveMs


class LimitsSection(_Section):
    """Memory and descriptors that the process may use."""

    memory_mb: Annotated[int, pydantic.Field(ge=64, le=1_000_000)]
    max_fds: Annotated[int, pydantic.Field(ge=64, le=10_000_000)]


class LogSection(_Section):
    """Level and format of the daemon's log."""

    level: Literal['debug', 'info', 'warning', 'error']
    format: Literal['text', 'json']


class _SettingsFile(_Section):
    node: NodeSection
    listen: ListenSection
    server: ServerSection
    callers: CallersSection
    join: JoinSection
    tickets: TicketsSection
    heartbeat: HeartbeatSection
    policy: PolicySection
    limits: LimitsSection
    log: LogSection


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of a daemon."""

    node: NodeSection
    listen: ListenSection
    server: ServerSection
    callers: CallersSection
    join: JoinSection
    tickets: TicketsSection
    heartbeat: HeartbeatSection
    policy: PolicySection
    limits: LimitsSection
    log: LogSection


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raise :class:`SettingsError` with all errors found.
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
    """Validate options by section and return the settings."""
    try:
        checked = _SettingsFile.model_validate(sections)
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
            return f'{where}: not set, and there is no default'
        case 'extra_forbidden':
            return f'{where}: no such section or option'
        case _:
            allowed = problem['msg'].removeprefix('Value error, ')
            found = problem['input']
            return f'{where}: found {found!r}, allowed: {allowed}'
