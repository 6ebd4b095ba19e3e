"""Settings file of the platform: lines ``table.field=value``.

Unknown fields are ignored. All errors in known fields are reported together.
"""

import dataclasses
import math

from bergamotmount.organisations.quotaowner import QuotaOptions
from bergamotmount.settingserror import SettingsError

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
    was withdrawn, infinite if nodes that are cut off may. ``quota`` is what is
    tolerated beyond the quotas of organisations.
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
    quota: QuotaOptions = QuotaOptions()


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
        with open(path, encoding='utf-8') as settings_file:
            lines = settings_file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    return parse_platform_settings(lines)


def parse_platform_settings(lines: list[str]) -> PlatformSettings:
    """Return the settings in these lines.

    Raise :class:`SettingsError` with all problems if there are any.
    """
    fields = _Fields(lines)
    ip = fields.text('local_node.ip')
    first_port = fields.first_port('network.port_range')
    settings = PlatformSettings(
        node=fields.text('local_node.node_name'),
        ip=ip,
        region=fields.text('local_node.region'),
        failure_domain=fields.text('local_node.zone'),
        service=fields.text('local_node.service'),
        server_address=fields.text('local_node.app_addr'),
        caller_address=fields.text('network.listen_addrs.outbound'),
        ready_address=fields.text('network.listen_addrs.ready'),
        control_address=fields.text('network.listen_addrs.control'),
        peer_address=f'{ip}:{first_port}',
        metrics_address=f'{ip}:{first_port + 1}',
        store_address=fields.text('platform.platform.address'),
        announce_interval_ms=fields.seconds('platform.heartbeat_s'),
        termination_grace_ms=fields.seconds('terms.bounds.grace_s'),
        retry_ratio=fields.number('terms.bounds.retry_budget_ratio'),
        retry_window_ms=fields.seconds('terms.bounds.budget_window_s'),
        retry_slack=fields.number('terms.bounds.retry_budget_slack'),
        is_first_start=fields.flag('local_node.bootstrap'),
        key_withdrawal_ms=(
            fields.seconds('terms.bounds.revoke_s')
            if fields.flag('terms.bounds.revoke_strict')
            else math.inf
        ),
        quota=QuotaOptions(
            fields.seconds('terms.bounds.quota_window_s', default='5'),
            fields.number('terms.bounds.quota_overage', default='0'),
            fields.number('terms.bounds.quota_slack', default='0'),
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

    def flag(self, name: str) -> bool:
        text = self._text_by_name.get(name, 'false')
        if text not in {'true', 'false'}:
            self.problems.append(f'{name}: {text!r} is not true or false')
        return text == 'true'

    def number(self, name: str, default: str = '') -> float:
        text = self.text(name, default)
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            if text:
                self.problems.append(f'{name}: {text!r} is not a number')
            return 0
        return number

    def seconds(self, name: str, default: str = '') -> float:
        return self.number(name, default) * _MS_PER_SECOND

    def first_port(self, name: str) -> int:
        first, _, last = self.text(name).partition(',')
        if first.isdecimal() and last.isdecimal() and int(first) < int(last):
            return int(first)
        self.problems.append(f'{name}: not a port range such as 7620,7635')
        return 0
