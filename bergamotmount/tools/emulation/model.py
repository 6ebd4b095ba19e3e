"""Deployments and scenarios of the emulation, parsed from INI files."""

import configparser
import dataclasses
import pathlib

from bergamotmount.settingserror import SettingsError

#: Directory of the bundled deployments.
DEPLOYMENTS_DIR = pathlib.Path(__file__).parent / 'deployments'


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """The servers of one service, which differ only in speed.

    Once the share of busy slots reaches ``knee``, work takes ``knee_factor``
    times as long. A server queues up to ``queue`` requests and refuses further
    ones.
    """

    name: str
    servers: int
    slots: int
    queue: int
    speeds: tuple[float, ...] = (1,)
    knee: float = 2
    knee_factor: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CallPlan:
    """Nested calls of a request: ``times`` calls, parallel or sequential."""

    kind: str
    times: int
    at_once: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    ``share`` is its share of the callers' requests, 0 for a kind that only
    servers send as nested calls. ``work_ms`` is the mean work before any
    nested call on a server of speed 1, ``spread`` the sigma of its log-normal
    distribution. An answer within ``aim_ms`` is worth ``worth``, a later one
    ``late_worth``. ``deadline_ms`` is how long the caller waits over all its
    attempts, ``timeout_ms`` the maximum wait that the policy allows.
    """

    name: str
    service: str
    work_ms: float
    deadline_ms: float
    timeout_ms: float
    aim_ms: float = 1000
    spread: float = 0.5
    share: float = 0
    worth: float = 0
    late_worth: float = 0
    level: int = 1
    retries: int = 0
    is_idempotent: bool = True
    max_servers: int = 3
    calls: CallPlan | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Services, kinds of requests, and the callers' requests per second.

    ``budget_slack`` is the number of retries per window that are allowed on
    top of the retry ratio.
    """

    name: str
    domains: int
    rate: float
    service_by_name: dict[str, Service]
    kind_by_name: dict[str, Kind]
    budget_slack: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of demand or an injected fault during part of a scenario.

    ``effect`` is one of ``burst``, ``abuse``, ``shed``, ``slow``, ``fail``,
    ``hang``, ``crash`` and ``cut``. ``where`` is the affected service, or the
    failure domain that a ``cut`` isolates; ``share`` is the affected share of
    servers (at least one) or callers. ``strength`` depends on ``effect``: a
    factor on the demand (``burst``) or on the work (``slow``), the number of
    extra retries (``abuse``), or the share of requests that are refused
    (``shed``) or fail (``fail``).
    """

    effect: str
    start_s: float
    end_s: float
    where: str = ''
    share: float = 1
    strength: float = 1

    def is_active(self, second: float) -> bool:
        """Return whether the event is active at a second of the scenario."""
        return self.start_s <= second < self.end_s


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Events on top of the usual demand, and the duration in seconds."""

    name: str
    seconds: float
    events: tuple[Event, ...] = ()


def read_deployment(
    path: pathlib.Path,
) -> tuple[Deployment, dict[str, Scenario]]:
    """Return the deployment defined in a file, and its scenarios by name.

    Raise :class:`SettingsError` if the file can't be read or parsed.
    """
    parser = configparser.ConfigParser()
    try:
        with path.open(encoding='utf-8') as source:
            parser.read_file(source)
        return _parse_deployment(parser, path.stem), _parse_scenarios(parser)
    except (OSError, ValueError, KeyError, configparser.Error) as error:
        raise SettingsError([f'{path}: {error!r}']) from error


def _parse_deployment(
    parser: configparser.ConfigParser,
    name: str,
) -> Deployment:
    section = parser['deployment']
    services = [
        _parse_service(section_name, parser[section_name])
        for section_name in parser.sections()
        if section_name.startswith('service ')
    ]
    kinds = [
        _parse_kind(section_name, parser[section_name])
        for section_name in parser.sections()
        if section_name.startswith('kind ')
    ]
    return Deployment(
        name,
        section.getint('domains'),
        section.getfloat('rate'),
        {service.name: service for service in services},
        {kind.name: kind for kind in kinds},
        section.getfloat('budget_slack', 0),
    )


def _parse_service(
    section_name: str,
    section: configparser.SectionProxy,
) -> Service:
    speeds = section.get('speeds', '1').split(',')
    return Service(
        section_name.removeprefix('service '),
        section.getint('servers'),
        section.getint('slots'),
        section.getint('queue'),
        tuple(float(speed) for speed in speeds),
        section.getfloat('knee', 2),
        section.getfloat('knee_factor', 1),
    )


def _parse_kind(section_name: str, section: configparser.SectionProxy) -> Kind:
    return Kind(
        name=section_name.removeprefix('kind '),
        service=section['service'],
        work_ms=section.getfloat('work_ms'),
        deadline_ms=section.getfloat('deadline_ms'),
        timeout_ms=section.getfloat('timeout_ms'),
        aim_ms=section.getfloat('aim_ms', 1000),
        spread=section.getfloat('spread', 0.5),
        share=section.getfloat('share', 0),
        worth=section.getfloat('worth', 0),
        late_worth=section.getfloat('late_worth', 0),
        level=section.getint('level', 1),
        retries=section.getint('retries', 0),
        is_idempotent=section.getboolean('idempotent', True),
        max_servers=section.getint('max_servers', 3),
        calls=_parse_calls(section.get('calls', '')),
    )


def _parse_calls(text: str) -> CallPlan | None:
    if not text:
        return None
    times, kind, mode = text.split()
    return CallPlan(kind, int(times), mode == 'at-once')


def _parse_scenarios(
    parser: configparser.ConfigParser,
) -> dict[str, Scenario]:
    scenarios = {}
    for section_name in parser.sections():
        if section_name.startswith('scenario '):
            name = section_name.removeprefix('scenario ')
            section = parser[section_name]
            events = section.get('events', '').strip().splitlines()
            scenarios[name] = Scenario(
                name,
                section.getfloat('seconds'),
                tuple(_parse_event(line) for line in events if line.strip()),
            )
    return scenarios


def _parse_event(line: str) -> Event:
    effect, period, *options = line.split()
    start, _, end = period.partition('-')
    value_by_name = dict(option.split('=', 1) for option in options)
    return Event(
        effect,
        float(start),
        float(end),
        value_by_name.get('where', ''),
        float(value_by_name.get('share', 1)),
        float(value_by_name.get('strength', 1)),
    )
