"""Faults of a soak, drawn from its seed; they come in series and overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from bergamotmount.tools.soak.fleet import SoakFleet
from bergamotmount.tools.soak.plan import HostPlan
from bergamotmount.tools.soak.truth import Disturbance, now_s

#: Pause between the starts of two faults, and how long one lasts, in seconds.
PAUSE_S = (0.05, 1)
LASTS_S = (0.3, 4)

#: Time that a stopped process is away, in seconds.
AWAY_S = (0.1, 1.5)

#: Errors of wall clocks, in seconds.
SKEWS_S = (-90, -5, 5, 90)

_BUSY = 429
_UNAVAILABLE = 503
_PLANNED = frozenset(('term', 'hup', 'policy'))

#: Breaks something for so many seconds and mends it.
Fault = Callable[[SoakFleet, HostPlan, random.Random, float], Awaitable[None]]


class FaultSeries:
    """Draws faults and keeps record of when each was in force."""

    def __init__(
        self,
        fleet: SoakFleet,
        rng: random.Random,
        only: tuple[str, ...] = (),
    ) -> None:
        """Disturb ``fleet``, with ``only`` some faults if any are named."""
        self._fleet = fleet
        self._rng = rng
        self._names = only or tuple(FAULTS)
        self._tasks: set[asyncio.Task] = set()
        self._hosts_down: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Disturb for so many seconds, then wait until all is mended."""
        end_s = now_s() + seconds
        while now_s() < end_s:
            name = self._rng.choice(self._names)
            host = self._rng.choice(self._fleet.hosts)
            lasts_s = self._rng.uniform(*LASTS_S)
            task = asyncio.create_task(self._apply(name, host, lasts_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        await asyncio.gather(*self._tasks)

    async def _apply(self, name: str, host: HostPlan, lasts_s: float) -> None:
        if name in _OF_PROCESSES:
            if host.name in self._hosts_down:
                return
            self._hosts_down.add(host.name)
        where = '' if name in _FOR_ALL else host.name
        disturbance = Disturbance(
            name,
            where,
            now_s(),
            is_planned=name in _PLANNED,
        )
        self._fleet.truth.disturbances.append(disturbance)
        try:
            await FAULTS[name](self._fleet, host, self._rng, lasts_s)
        finally:
            disturbance.end_s = now_s()
            if name in _OF_PROCESSES:
                self._hosts_down.discard(host.name)


async def _kill(fleet, host, rng, _) -> None:
    await fleet.kill(host)
    await asyncio.sleep(rng.uniform(*AWAY_S))
    await fleet.start_node(host)


async def _skew(fleet, host, rng, _) -> None:
    await fleet.kill(host)
    await fleet.start_node(host, skew_s=rng.choice(SKEWS_S))


async def _term(fleet, host, rng, _) -> None:
    await fleet.terminate(host)
    await asyncio.sleep(rng.uniform(*AWAY_S))
    await fleet.start_node(host)


async def _pause(fleet, host, _, lasts_s) -> None:
    fleet.signal(host, signal.SIGSTOP)
    await asyncio.sleep(lasts_s)
    fleet.signal(host, signal.SIGCONT)


async def _hup(fleet, host, rng, _) -> None:
    for _ in range(rng.randint(1, 4)):
        fleet.signal(host, signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0, 0.2))


async def _delay(fleet, host, rng, lasts_s) -> None:
    weather = fleet.proxy_by_host[host.name].weather
    weather.delay_s = rng.uniform(0.02, 0.4)
    await asyncio.sleep(lasts_s)
    weather.clear()


async def _reset(fleet, host, rng, _) -> None:
    for _ in range(rng.randint(1, 3)):
        fleet.proxy_by_host[host.name].reset()
        await asyncio.sleep(rng.uniform(0, 0.5))


async def _silence(fleet, host, _, lasts_s) -> None:
    fleet.proxy_by_host[host.name].silence()
    await asyncio.sleep(lasts_s)
    fleet.proxy_by_host[host.name].reset()


async def _cut(fleet, host, rng, lasts_s) -> None:
    weather = fleet.proxy_by_host[host.name].weather
    ways = rng.choice(('in', 'out', 'in and out'))
    weather.holds_in = 'in' in ways
    weather.holds_out = 'out' in ways
    await asyncio.sleep(lasts_s)
    weather.clear()


async def _refuse(fleet, host, _, lasts_s) -> None:
    proxy = fleet.proxy_by_host[host.name]
    proxy.weather.refuses = True
    proxy.reset()
    await asyncio.sleep(lasts_s)
    proxy.weather.clear()


async def _store_error(fleet, _host, rng, lasts_s) -> None:
    fleet.store.faults.status = rng.choice((_BUSY, _UNAVAILABLE))
    await asyncio.sleep(lasts_s)
    fleet.store.faults.clear()


async def _store_slow(fleet, _host, rng, lasts_s) -> None:
    fleet.store.faults.slow_s = rng.uniform(0.2, 3)
    await asyncio.sleep(lasts_s)
    fleet.store.faults.clear()


async def _store_loses(fleet, _host, _, lasts_s) -> None:
    fleet.store.faults.loses_answers = True
    await asyncio.sleep(lasts_s)
    fleet.store.faults.clear()


async def _store_cut(fleet, host, rng, lasts_s) -> None:
    proxy = fleet.store_proxy_by_host[host.name]
    if rng.randrange(2):
        proxy.silence()
        proxy.weather.holds_out = True
    else:
        proxy.weather.refuses = True
        proxy.reset()
    await asyncio.sleep(lasts_s)
    proxy.weather.clear()
    proxy.reset()


async def _store_compact(fleet, _host, _, _lasts_s) -> None:
    fleet.store.compact()


async def _policy(fleet, _host, rng, _) -> None:
    for _ in range(rng.randint(1, 3)):
        fleet.publish()
        await asyncio.sleep(rng.uniform(0.3, 1))


async def _server_sheds(fleet, host, rng, lasts_s) -> None:
    backend = fleet.backend_by_host[host.name]
    backend.shed_share = rng.uniform(0.3, 1)
    await asyncio.sleep(lasts_s)
    backend.shed_share = 0


async def _server_loses(fleet, host, rng, lasts_s) -> None:
    backend = fleet.backend_by_host[host.name]
    backend.lose_share = rng.uniform(0.1, 0.5)
    await asyncio.sleep(lasts_s)
    backend.lose_share = 0


async def _server_slow(fleet, host, rng, lasts_s) -> None:
    backend = fleet.backend_by_host[host.name]
    backend.slowness = rng.uniform(4, 20)
    await asyncio.sleep(lasts_s)
    backend.slowness = 1


async def _server_crash(fleet, host, _, lasts_s) -> None:
    backend = fleet.backend_by_host[host.name]
    await backend.crash()
    await asyncio.sleep(lasts_s)
    await backend.start()


async def _server_leaves(fleet, host, rng, _) -> None:
    backend = fleet.backend_by_host[host.name]
    await backend.leave(says_draining=rng.choice((True, False)))
    await backend.start()


FAULTS: dict[str, Fault] = {
    'kill': _kill,
    'skew': _skew,
    'term': _term,
    'pause': _pause,
    'hup': _hup,
    'delay': _delay,
    'reset': _reset,
    'silence': _silence,
    'cut': _cut,
    'refuse': _refuse,
    'store-error': _store_error,
    'store-slow': _store_slow,
    'store-loses': _store_loses,
    'store-cut': _store_cut,
    'store-compact': _store_compact,
    'policy': _policy,
    'server-sheds': _server_sheds,
    'server-loses': _server_loses,
    'server-slow': _server_slow,
    'server-crash': _server_crash,
    'server-leaves': _server_leaves,
}

#: Faults that need the process, or the server, of a host for themselves.
_OF_PROCESSES = frozenset(
    ('kill', 'skew', 'term', 'pause', 'server-crash', 'server-leaves'),
)
_FOR_ALL = frozenset(
    ('store-error', 'store-slow', 'store-loses', 'store-compact', 'policy'),
)
