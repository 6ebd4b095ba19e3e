"""Faults that the fault matrices inject.

Each fault is a coroutine that gets the runner of a cell and the target host.
Temporary faults end before their coroutine returns.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from bergamotmount.tests.fakes import FakeHost, Simulation

FAULT_DURATION_S = 3


class Runner(Protocol):
    """Runner of a cell, as used by faults.

    ``departed_ms_by_host`` holds when a server stopped accepting requests,
    ``returned_ms_by_host`` when it announced itself again. ``stopped_hosts``
    are the hosts that were stopped for good.
    """

    simulation: Simulation
    departed_ms_by_host: dict[str, float]
    returned_ms_by_host: dict[str, float]
    stopped_hosts: set[str]


async def _kill_host(runner: Runner, host: FakeHost) -> None:
    host.kill()


async def _restart_host(runner: Runner, host: FakeHost) -> None:
    host.kill()
    await asyncio.sleep(0.3)
    host.start()
    # The server accepts requests again, so later executions are allowed.
    runner.returned_ms_by_host[host.name] = host.clock.now_ms()


async def _freeze_host(runner: Runner, host: FakeHost) -> None:
    host.freeze()
    await asyncio.sleep(FAULT_DURATION_S)
    host.thaw()


async def _partition_from_domain(
    runner: Runner, host: FakeHost, *, inward=True, outward=True
) -> None:
    """Partition a host from the hosts of other failure domains."""
    network = runner.simulation.network
    for other in runner.simulation.host_by_name.values():
        if other.domain != host.domain:
            if inward:
                network.partition(other.name, host.name)
            if outward:
                network.partition(host.name, other.name)
    await asyncio.sleep(FAULT_DURATION_S)
    network.partitions.clear()


async def _isolate(runner: Runner, host: FakeHost) -> None:
    network = runner.simulation.network
    for other in runner.simulation.host_by_name.values():
        if other is not host:
            network.partition(other.name, host.name)
            network.partition(host.name, other.name)
    await asyncio.sleep(FAULT_DURATION_S)
    network.partitions.clear()


async def _partition_inward(runner: Runner, host: FakeHost) -> None:
    await _partition_from_domain(runner, host, outward=False)


async def _partition_outward(runner: Runner, host: FakeHost) -> None:
    await _partition_from_domain(runner, host, inward=False)


async def _slow_network(runner: Runner, host: FakeHost) -> None:
    runner.simulation.network.extra_latency_ms = 300
    await asyncio.sleep(FAULT_DURATION_S)
    runner.simulation.network.extra_latency_ms = 0


async def _slow_server(runner: Runner, host: FakeHost) -> None:
    host.server.service_ms = 3000
    await asyncio.sleep(FAULT_DURATION_S)
    host.server.service_ms = 20


def _delivery_fault(change: Callable) -> Callable:
    async def inject(runner: Runner, host: FakeHost) -> None:
        runner.simulation.network.change_deliveries = (
            lambda message, deliveries: change(
                message,
                deliveries,
            )
        )
        await asyncio.sleep(FAULT_DURATION_S)
        runner.simulation.network.change_deliveries = None

    return inject


def _duplicate_message(message, deliveries):
    return [*deliveries, (deliveries[0][0] + 40, message)]


def _reorder_messages(message, deliveries):
    delay_ms = random.Random(repr(message)).choice((0, 30, 80))
    return [(deliveries[0][0] + delay_ms, message)]


async def _lose_messages(runner: Runner, host: FakeHost) -> None:
    """Lose one message and the next one of the same type."""
    network = runner.simulation.network
    lost = []

    def lose(message, deliveries):
        if lost and not isinstance(message, lost[0]):
            return deliveries
        if len(lost) > 1:
            return deliveries
        lost.append(type(message))
        return []

    network.change_deliveries = lose
    await asyncio.sleep(FAULT_DURATION_S)
    network.change_deliveries = None


async def _silence_connections(runner: Runner, host: FakeHost) -> None:
    for channel in runner.simulation.network.channels:
        if host.name in {channel.local, channel.peer}:
            channel.is_silent = True


async def _stop_log(runner: Runner, host: FakeHost) -> None:
    runner.simulation.log.is_down = True
    await asyncio.sleep(FAULT_DURATION_S)
    runner.simulation.log.is_down = False


async def _slow_log(runner: Runner, host: FakeHost) -> None:
    runner.simulation.log.extra_latency_ms = 2000
    await asyncio.sleep(FAULT_DURATION_S)
    runner.simulation.log.extra_latency_ms = 0


async def _lose_append_answer(runner: Runner, host: FakeHost) -> None:
    runner.simulation.log.answers_to_lose = 1


def _record_departure(runner: Runner, host: FakeHost) -> None:
    runner.departed_ms_by_host[host.name] = host.clock.now_ms()
    runner.returned_ms_by_host.pop(host.name, None)


async def _expire_lease(runner: Runner, host: FakeHost) -> None:
    host.node.lifecycle.expire_lease()
    _record_departure(runner, host)


async def _drain_server(runner: Runner, host: FakeHost) -> None:
    host.node.lifecycle.drain()
    _record_departure(runner, host)


async def _reannounce_cold(runner: Runner, host: FakeHost) -> None:
    host.node.lifecycle.leave()
    host.node.announce_server(host.service, 4, cold=True)
    # As after a restart, the server has announced itself again.
    runner.returned_ms_by_host[host.name] = host.clock.now_ms()


async def _stop_node(runner: Runner, host: FakeHost) -> None:
    runner.stopped_hosts.add(host.name)
    _record_departure(runner, host)
    await host.node.drain()
    await host.node.leave()
    host.kill()


async def _shed_requests(runner: Runner, host: FakeHost) -> None:
    host.server.sheds = True
    await asyncio.sleep(FAULT_DURATION_S)
    host.server.sheds = False


async def _lose_answers(runner: Runner, host: FakeHost) -> None:
    host.server.loses_answers = True
    await asyncio.sleep(FAULT_DURATION_S)
    host.server.loses_answers = False


FAULT_BY_NAME: dict[str, Callable] = {
    'kill': _kill_host,
    'restart': _restart_host,
    'freeze': _freeze_host,
    'cut': _partition_from_domain,
    'isolate': _isolate,
    'cut-in': _partition_inward,
    'cut-out': _partition_outward,
    'slow': _slow_network,
    'slow-server': _slow_server,
    'duplicate': _delivery_fault(_duplicate_message),
    'reorder': _delivery_fault(_reorder_messages),
    'lose-message': _lose_messages,
    'silence': _silence_connections,
    'log-down': _stop_log,
    'log-slow': _slow_log,
    'lose-append': _lose_append_answer,
    'lapse': _expire_lease,
    'drain': _drain_server,
    'cold': _reannounce_cold,
    'stop': _stop_node,
    'shed': _shed_requests,
    'lose-answer': _lose_answers,
}
