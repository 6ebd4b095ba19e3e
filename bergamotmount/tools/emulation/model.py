"""Deployments and scenarios of the emulation, read from INI files."""

import configparser
import dataclasses
import pathlib

from bergamotmount.settingserror import SettingsError

#: Folder of the deployments that come along.
DEPLOYMENTS = pathlib.Path(__file__).parent / 'deployments'


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Servers of one service, alike but for their speeds.

    From the share ``knee`` of busy slots on, work takes ``knee_factor`` times
    as long. ``queue`` requests wait in a server before it refuses.
    """

    name: str
    servers: int
    slots: int
    queue: int
    speeds: tuple[float, ...] = (1,)
    knee: float = 2
    knee_factor: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Calls:
    """Calls that a request leads to: so many of a kind, at once or in turn."""

    kind: str
    times: int
    at_once: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; one that only servers send has no ``share``.

    Times are in milliseconds: ``work_ms`` on a server of speed 1 before any
    call, ``aim_ms`` the time within which an answer is worth ``worth``,
    ``deadline_ms`` how long the caller waits over all its tries,
    ``timeout_ms`` the longest wait that the operators' policy allows.
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
    calls: Calls | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Services, kinds of requests, and how many come in a second."""

    name: str
    domains: int
    rate: float
    service_by_name: dict[str, Service]
    kind_by_name: dict[str, Kind]
    budget_slack: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that goes on from one second of a scenario to another.

    ``what`` is one of ``burst``, ``abuse``, ``shed``, ``slow``, ``fail``,
    ``hang``, ``crash`` and ``cut``; ``where`` a service or failure domain,
    ``share`` how many servers or callers, ``strength`` how much.
    """

    what: str
    start_s: float
    end_s: float
    where: str = ''
    share: float = 1
    strength: float = 1

    def is_on(self, second: float) -> bool:
        """Return whether it goes on at a second."""
        return self.start_s <= second < self.end_s


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens on top of the usual demand, in so many seconds."""

    name: str
    seconds: float
    events: tuple[Event, ...] = ()


def read_deployment(
    path: pathlib.Path,
) -> tuple[Deployment, dict[str, Scenario]]:
    """Return the deployment in a file, and its scenarios by name.

    Raise :class:`SettingsError` for anything that can't be read.
    """
    parser = configparser.ConfigParser()
    try:
        with path.open(encoding='utf-8') as source:
            parser.read_file(source)
        return _deployment_of(parser, path.stem), _scenarios_of(parser)
    except (OSError, ValueError, KeyError, configparser.Error) as error:
        raise SettingsError([f'{path}: {error!r}']) from error


def _deployment_of(
    parser: configparser.ConfigParser,
    name: str,
) -> Deployment:
    common = parser['deployment']
    services = [
        _service_of(title, parser[title])
        for title in parser.sections()
        if title.startswith('service ')
    ]
    kinds = [
        _kind_of(title, parser[title])
        for title in parser.sections()
        if title.startswith('kind ')
    ]
    return Deployment(
        name,
        common.getint('domains'),
        common.getfloat('rate'),
        {each.name: each for each in services},
        {each.name: each for each in kinds},
        common.getfloat('budget_slack', 0),
    )


def _service_of(title: str, found: configparser.SectionProxy) -> Service:
    speeds = found.get('speeds', '1').split(',')
    return Service(
        title.removeprefix('service '),
        found.getint('servers'),
        found.getint('slots'),
        found.getint('queue'),
        tuple(float(speed) for speed in speeds),
        found.getfloat('knee', 2),
        found.getfloat('knee_factor', 1),
    )


def _kind_of(title: str, found: configparser.SectionProxy) -> Kind:
    return Kind(
        name=title.removeprefix('kind '),
        service=found['service'],
        work_ms=found.getfloat('work_ms'),
        deadline_ms=found.getfloat('deadline_ms'),
        timeout_ms=found.getfloat('timeout_ms'),
        aim_ms=found.getfloat('aim_ms', 1000),
        spread=found.getfloat('spread', 0.5),
        share=found.getfloat('share', 0),
        worth=found.getfloat('worth', 0),
        late_worth=found.getfloat('late_worth', 0),
        level=found.getint('level', 1),
        retries=found.getint('retries', 0),
        is_idempotent=found.getboolean('idempotent', True),
        max_servers=found.getint('max_servers', 3),
        calls=_calls_of(found.get('calls', '')),
    )


def _calls_of(text: str) -> Calls | None:
    if not text:
        return None
    times, kind, how = text.split()
    return Calls(kind, int(times), how == 'at-once')


def _scenarios_of(
    parser: configparser.ConfigParser,
) -> dict[str, Scenario]:
    scenarios = {}
    for title in parser.sections():
        if title.startswith('scenario '):
            name = title.removeprefix('scenario ')
            found = parser[title]
            events = found.get('events', '').strip().splitlines()
            scenarios[name] = Scenario(
                name,
                found.getfloat('seconds'),
                tuple(_event_of(line) for line in events if line.strip()),
            )
    return scenarios


def _event_of(line: str) -> Event:
    what, span, *terms = line.split()
    start, _, end = span.partition('-')
    given = dict(term.split('=', 1) for term in terms)
    return Event(
        what,
        float(start),
        float(end),
        given.get('where', ''),
        float(given.get('share', 1)),
        float(given.get('strength', 1)),
    )
