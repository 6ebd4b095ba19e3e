"""Faults of the fault matrices, each as a coroutine that ends it again."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from bergamotmount.tests.fakes import FakeHost, World

FAULT_S = 3


class Run(Protocol):
    """Run of a cell, as far as faults need it."""

    world: World
    drained_ms: dict[str, float]
    returned_ms: dict[str, float]
    stopped: set[str]


async def _kill(run: Run, host: FakeHost) -> None:
    host.kill()


async def _restart(run: Run, host: FakeHost) -> None:
    host.kill()
    await asyncio.sleep(0.3)
    host.start()
    # The server is back, so what follows is no work after a departure.
    run.returned_ms[host.name] = host.clock.now_ms()


async def _freeze(run: Run, host: FakeHost) -> None:
    host.freeze()
    await asyncio.sleep(FAULT_S)
    host.thaw()


async def _cut(run: Run, host: FakeHost, *, inward=True, outward=True) -> None:
    network = run.world.network
    for other in run.world.host_by_name.values():
        if other.domain != host.domain:
            if inward:
                network.cut(other.name, host.name)
            if outward:
                network.cut(host.name, other.name)
    await asyncio.sleep(FAULT_S)
    network.cuts.clear()


async def _cut_all(run: Run, host: FakeHost) -> None:
    network = run.world.network
    for other in run.world.host_by_name.values():
        if other is not host:
            network.cut(other.name, host.name)
            network.cut(host.name, other.name)
    await asyncio.sleep(FAULT_S)
    network.cuts.clear()


async def _cut_in(run: Run, host: FakeHost) -> None:
    await _cut(run, host, outward=False)


async def _cut_out(run: Run, host: FakeHost) -> None:
    await _cut(run, host, inward=False)


async def _slow(run: Run, host: FakeHost) -> None:
    run.world.network.slow_ms = 300
    await asyncio.sleep(FAULT_S)
    run.world.network.slow_ms = 0


async def _slow_server(run: Run, host: FakeHost) -> None:
    host.server.service_ms = 3000
    await asyncio.sleep(FAULT_S)
    host.server.service_ms = 20


def _disturbance(change: Callable) -> Callable:
    async def disturb(run: Run, host: FakeHost) -> None:
        run.world.network.disturb = lambda message, deliveries: change(
            message,
            deliveries,
        )
        await asyncio.sleep(FAULT_S)
        run.world.network.disturb = None

    return disturb


def _duplicate(message, deliveries):
    return [*deliveries, (deliveries[0][0] + 40, message)]


def _reorder(message, deliveries):
    delay_ms = random.Random(repr(message)).choice((0, 30, 80))
    return [(deliveries[0][0] + delay_ms, message)]


async def _lose_message(run: Run, host: FakeHost) -> None:
    network = run.world.network
    lost = []

    def lose(message, deliveries):
        if lost and not isinstance(message, lost[0]):
            return deliveries
        if len(lost) > 1:
            return deliveries
        lost.append(type(message))
        return []

    network.disturb = lose
    await asyncio.sleep(FAULT_S)
    network.disturb = None


async def _silence(run: Run, host: FakeHost) -> None:
    for channel in run.world.network.channels:
        if host.name in {channel.own, channel.peer}:
            channel.is_silent = True


async def _log_down(run: Run, host: FakeHost) -> None:
    run.world.log.is_down = True
    await asyncio.sleep(FAULT_S)
    run.world.log.is_down = False


async def _log_slow(run: Run, host: FakeHost) -> None:
    run.world.log.slow_ms = 2000
    await asyncio.sleep(FAULT_S)
    run.world.log.slow_ms = 0


async def _lose_append(run: Run, host: FakeHost) -> None:
    run.world.log.lose_answers = 1


def _note_departure(run: Run, host: FakeHost) -> None:
    run.drained_ms[host.name] = host.clock.now_ms()
    run.returned_ms.pop(host.name, None)


async def _lapse(run: Run, host: FakeHost) -> None:
    host.node.lifecycle.expire_lease()
    _note_departure(run, host)


async def _drain(run: Run, host: FakeHost) -> None:
    host.node.lifecycle.drain()
    _note_departure(run, host)


async def _cold(run: Run, host: FakeHost) -> None:
    host.node.lifecycle.leave()
    host.node.announce_server(host.service, 4, cold=True)
    # As after a restart: the server itself asks for work again.
    run.returned_ms[host.name] = host.clock.now_ms()


async def _stop(run: Run, host: FakeHost) -> None:
    run.stopped.add(host.name)
    _note_departure(run, host)
    await host.node.drain()
    await host.node.leave()
    host.kill()


async def _shed(run: Run, host: FakeHost) -> None:
    host.server.sheds = True
    await asyncio.sleep(FAULT_S)
    host.server.sheds = False


async def _lose_answer(run: Run, host: FakeHost) -> None:
    host.server.loses = True
    await asyncio.sleep(FAULT_S)
    host.server.loses = False


FAULT_BY_NAME: dict[str, Callable] = {
    'kill': _kill,
    'restart': _restart,
    'freeze': _freeze,
    'cut': _cut,
    'isolate': _cut_all,
    'cut-in': _cut_in,
    'cut-out': _cut_out,
    'slow': _slow,
    'slow-server': _slow_server,
    'duplicate': _disturbance(_duplicate),
    'reorder': _disturbance(_reorder),
    'lose-message': _lose_message,
    'silence': _silence,
    'log-down': _log_down,
    'log-slow': _log_slow,
    'lose-append': _lose_append,
    'lapse': _lapse,
    'drain': _drain,
    'cold': _cold,
    'stop': _stop,
    'shed': _shed,
    'lose-answer': _lose_answer,
}
