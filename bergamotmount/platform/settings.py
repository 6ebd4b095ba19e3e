"""Settings file of the platform: lines ``table.field=value``.

Unknown fields are ignored, whatever they hold. All errors in known fields are
reported together.
"""

import dataclasses
import ipaddress
import math

from bergamotmount.fieldchecks import is_address, is_name, is_port
from bergamotmount.forwarding.policywatch import APPLY_MS
from bergamotmount.organisations.quotaowner import QuotaOptions
from bergamotmount.processlimits import ProcessLimits
from bergamotmount.settingserror import SettingsError

#: Maximum length of a rejected value in a message, in characters.
MAX_SHOWN_CHARS = 80

#: Upper bound of a time and of other numbers, beyond any that can be meant.
MAX_NUMBER = 10**9

_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the node on this host; times are in milliseconds.

    The node listens for other nodes on ``peer_address``, for requests of
    callers on this host and of the backend server on ``caller_address``, and
    for announcements of the backend server on ``control_address``.
    ``announce_interval_ms`` is the time between two announcements of a
    server, ``termination_grace_ms`` the time from SIGTERM to SIGKILL.
    ``key_withdrawal_ms`` is the time after which no node may accept a key that
    was withdrawn, infinite if nodes that are cut off may. A published policy
    has to be in force after ``policy_apply_ms``. ``quota`` is what is
    tolerated beyond the quotas of organisations. ``limits`` are those of the
    host on the memory and the descriptors of this process.
    ``is_first_start`` tells that the whole deployment starts for the first
    time.
    """

    node: str
    ip: str
    region: str
    failure_domain: str
    service: str
    server_address: str
    caller_address: str
    ready_address: str
    control_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    announce_interval_ms: float
    termination_grace_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    is_first_start: bool = False
    key_withdrawal_ms: float = math.inf
    policy_apply_ms: float = APPLY_MS
    quota: QuotaOptions = QuotaOptions()
    limits: ProcessLimits = ProcessLimits()


def changed_fields(
    before: PlatformSettings, after: PlatformSettings
) -> list[str]:
    """Return the names of the fields in which two settings differ."""
    return [
        field.name
        for field in dataclasses.fields(PlatformSettings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]


def read_platform_settings(path: str) -> PlatformSettings:
    """Read a settings file; raise :class:`SettingsError` if it is invalid."""
    try:
        with open(path, 'rb') as settings_file:
            packed = settings_file.read()
    except (OSError, ValueError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    # Only a field that is read needs to be text.
    return parse_platform_settings(packed.decode(errors='replace').split('\n'))


def parse_platform_settings(lines: list[str]) -> PlatformSettings:
    """Return the settings in these lines.

    Raise :class:`SettingsError` with all problems if there are any.
    """
    fields = _Fields(lines)
    ip = fields.ip('local_node.ip')
    first_port = fields.first_port('network.port_range')
    settings = PlatformSettings(
        node=fields.name('local_node.node_name'),
        ip=ip,
        region=fields.name('local_node.region'),
        failure_domain=fields.name('local_node.zone'),
        service=fields.name('local_node.service'),
        server_address=fields.address('local_node.app_addr'),
        caller_address=fields.address('network.listen_addrs.outbound'),
        ready_address=fields.address('network.listen_addrs.ready'),
        control_address=fields.address('network.listen_addrs.control'),
        peer_address=f'{ip}:{first_port}',
        metrics_address=f'{ip}:{first_port + 1}',
        store_address=fields.address('platform.platform.address'),
        announce_interval_ms=fields.interval('platform.heartbeat_s'),
        termination_grace_ms=fields.interval('terms.bounds.grace_s'),
        retry_ratio=fields.number('terms.bounds.retry_budget_ratio'),
        retry_window_ms=fields.interval('terms.bounds.budget_window_s'),
        retry_slack=fields.number('terms.bounds.retry_budget_slack'),
        is_first_start=fields.flag('local_node.bootstrap'),
        key_withdrawal_ms=(
            fields.interval('terms.bounds.revoke_s')
            if fields.flag('terms.bounds.revoke_strict')
            else math.inf
        ),
        policy_apply_ms=fields.interval(
            'terms.bounds.config_apply_s',
            default=f'{APPLY_MS / _MS_PER_SECOND}',
        ),
        quota=QuotaOptions(
            fields.interval('terms.bounds.quota_window_s', default='5'),
            fields.number('terms.bounds.quota_overage', default='0'),
            fields.number('terms.bounds.quota_slack', default='0'),
        ),
        limits=ProcessLimits(
            fields.positive(
                'local_node.limits.memory_mb',
                default=f'{ProcessLimits().memory_mb}',
            ),
            int(
                fields.positive(
                    'local_node.limits.max_fds',
                    default=f'{ProcessLimits().max_fds}',
                )
            ),
        ),
    )
    if fields.problems:
        raise SettingsError(fields.problems)
    return settings


class _Fields:
    """Fields of a settings file, and the problems found in reading them."""

    def __init__(self, lines: list[str]) -> None:
        self.problems: list[str] = []
        self._text_by_name: dict[str, str] = {}
        for line in lines:
            name, separator, text = line.partition('=')
            if separator:
                self._text_by_name[name.strip()] = text.strip()

    def text(self, name: str, default: str = '') -> str:
        text = self._text_by_name.get(name, default)
        if not text:
            self.problems.append(f'{name}: not set')
        return text

    def name(self, name: str) -> str:
        text = self.text(name)
        self._require(name, is_name(text), 'printable text')
        return text

    def address(self, name: str) -> str:
        text = self.text(name)
        self._require(name, is_address(text), 'an address such as 10.0.0.1:80')
        return text

    def ip(self, name: str) -> str:
        text = self.text(name)
        self._require(name, _is_ip(text), 'an IP address')
        return text

    def flag(self, name: str) -> bool:
        text = self._text_by_name.get(name, 'false')
        self._require(name, text in {'true', 'false'}, 'true or false')
        return text == 'true'

    def number(self, name: str, default: str = '') -> float:
        text = self.text(name, default)
        number = _to_number(text)
        is_valid = 0 <= number <= MAX_NUMBER
        self._require(name, is_valid, f'a number from 0 to {MAX_NUMBER}')
        return number if is_valid else 0

    def positive(self, name: str, default: str) -> float:
        number = self.number(name, default)
        self._require(name, number > 0, 'a number above 0')
        return number

    def interval(self, name: str, default: str = '') -> float:
        """Return a time in milliseconds, stated in seconds."""
        number = self.number(name, default)
        self._require(name, number > 0, 'a number of seconds above 0')
        return number * _MS_PER_SECOND

    def first_port(self, name: str) -> int:
        first, _, last = self.text(name).partition(',')
        if is_port(first) and is_port(last) and int(first) < int(last):
            return int(first)
        self._require(name, False, 'a port range such as 7620,7635')
        return 0

    def _require(self, name: str, is_valid: bool, expected: str) -> None:
        """Report a field that is set and isn't what is expected, once."""
        text = self._text_by_name.get(name, '')
        is_reported = any(each.startswith(f'{name}:') for each in self.problems)
        if not is_valid and not is_reported:
            shown = text[:MAX_SHOWN_CHARS]
            self.problems.append(f'{name}: {shown!r} is not {expected}')


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _to_number(text: str) -> float:
    """Return a number, NaN for any other text."""
    try:
        return float(text)
    except ValueError:
        return math.nan
