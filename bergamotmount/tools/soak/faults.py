"""Faults of the soak, drawn from a seed; they overlap."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.faultproxy import Disturbance
from bergamotmount.tools.soak.fleet import Fleet
from bergamotmount.tools.soak.oddwriter import OddWriter
from bergamotmount.tools.soak.standinserver import Misbehaviour

#: Time after the last fault in which callers still send.
QUIET_S = 3

#: Share of the silences in which half of an answer comes before.
HALF_ANSWER_SHARE = 0.3

#: Time in which a node ends after SIGTERM; then it gets SIGKILL.
GRACE_S = 6

#: Time after all connections were silenced at which changes come, by when the
#: nodes have to apply them in time again, and the time that these take.
AFTER_SILENCE_S = 3.2
CHANGES_S = 4


class Faults:
    """Injects the faults of one run."""

    def __init__(self, fleet: Fleet) -> None:
        """Harm what belongs to ``fleet``."""
        self._fleet = fleet
        self._odd_writer = OddWriter(
            fleet.store, random.Random(fleet.rng.random())
        )

    async def inject(self) -> None:
        """Start faults at random moments; they overlap."""
        fleet = self._fleet
        end_ms = fleet.clock.now_ms() + fleet.options.seconds * MS_PER_SECOND
        faults = self._chosen()
        async with asyncio.TaskGroup() as group:
            while fleet.clock.now_ms() < end_ms:
                group.create_task(fleet.rng.choice(faults)())
                await asyncio.sleep(fleet.rng.uniform(0.1, 1.2))

    async def end(self) -> None:
        """End all faults; then silence all connections, and make changes."""
        fleet = self._fleet
        for server in fleet.server_by_node.values():
            server.misbehaviour = Misbehaviour()
        for proxy in fleet.proxies:
            proxy.disturb(Disturbance())
        await asyncio.sleep(QUIET_S)
        if not fleet.options.kills or not self._is_chosen('silence-all'):
            return
        await self._silence_all()
        await asyncio.sleep(AFTER_SILENCE_S)
        end_ms = fleet.clock.now_ms() + CHANGES_S * MS_PER_SECOND
        while fleet.clock.now_ms() < end_ms:
            await self._change_in_series()
        await asyncio.sleep(QUIET_S)

    def _chosen(self) -> list[Callable[[], Coroutine]]:
        """Return the faults to draw from."""
        fleet = self._fleet
        fault_by_name: dict[str, Callable[[], Coroutine]] = {
            'misbehave': self._misbehave,
            'stop': self._stop,
            'reload': self._reload,
            'change': self._change,
            'change-series': self._change_in_series,
            'replace-server': self._replace_server,
            'write-oddly': self._write_oddly,
        }
        if fleet.options.kills:
            fault_by_name['kill'] = self._kill
            fault_by_name['pause'] = self._pause
            fault_by_name['silence-store'] = self._silence_store
            fault_by_name['disturb-store'] = self._disturb_store
        if fleet.peer_proxy_by_node and fleet.options.kills:
            fault_by_name['disturb-links'] = self._disturb_links
            fault_by_name['reset-links'] = self._reset_links
            fault_by_name['silence-all'] = self._silence_all
        return [
            inject
            for name, inject in fault_by_name.items()
            if self._is_chosen(name)
        ]

    def _is_chosen(self, fault: str) -> bool:
        fleet = self._fleet
        return not fleet.options.faults or fault in fleet.options.faults

    async def _misbehave(self) -> None:
        fleet = self._fleet
        server = fleet.rng.choice(list(fleet.server_by_node.values()))
        server.misbehaviour = Misbehaviour.draw(fleet.rng)
        await asyncio.sleep(fleet.rng.uniform(2, 6))
        server.misbehaviour = Misbehaviour()

    async def _stop(self) -> None:
        """Stop a node as planned, and start it again."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        if not node.is_up:
            return
        node.is_up = False
        fleet.ledger.record_stop(node.name)
        fleet.ledger.record_harm(node.name)
        node.send_signal(signal.SIGTERM)
        await node.wait_end(GRACE_S)
        await node.start(fleet.release_of(node))
        fleet.ledger.record_harm(node.name)

    async def _kill(self) -> None:
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        if not node.is_up:
            return
        node.is_up = False
        self._record_fault(node)
        node.send_signal(signal.SIGKILL)
        await node.wait_end(1)
        await asyncio.sleep(fleet.rng.uniform(0, 1))
        await node.start(fleet.release_of(node))
        self._record_fault(node)

    async def _pause(self) -> None:
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        self._record_fault(node)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fleet.rng.choice((0.2, 0.6, 1.5, 3.5)))
        node.send_signal(signal.SIGCONT)
        self._record_fault(node)

    async def _reload(self) -> None:
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        if node.is_up and node.handles_sighup:
            node.send_signal(signal.SIGHUP)

    async def _replace_server(self) -> None:
        """Let a server leave as planned, and start another in its place."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        server = fleet.server_by_node.pop(node.name, None)
        if server is None:
            return
        await server.leave()
        await fleet.start_server(node)

    async def _change(self) -> None:
        fleet = self._fleet
        fleet.operators.publish()

    async def _change_in_series(self) -> None:
        fleet = self._fleet
        for _ in range(fleet.rng.randint(2, 6)):
            fleet.operators.publish()
            await asyncio.sleep(fleet.rng.uniform(0, 0.6))

    async def _disturb_links(self) -> None:
        """Harm the connections to a node for a while."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        proxy = fleet.peer_proxy_by_node[node.name]
        self._record_fault(node)
        proxy.disturb(Disturbance.draw(fleet.rng))
        await self._harm_for(node, fleet.rng.choice((0.3, 0.8, 2, 4)))
        proxy.disturb(Disturbance())
        self._record_fault(node)

    async def _reset_links(self) -> None:
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        self._record_fault(node)
        fleet.peer_proxy_by_node[node.name].reset_some()

    async def _silence_store(self) -> None:
        """Silence the connections of some or all nodes to the store."""
        fleet = self._fleet
        total = len(fleet.nodes)
        count = fleet.rng.choice((1, total // 2, total))
        self._silence_store_of(fleet.rng.sample(fleet.nodes, count))

    async def _silence_all(self) -> None:
        """Silence all connections to the store and between nodes at once."""
        fleet = self._fleet
        fleet.ledger.record_fault()
        self._silence_store_of(fleet.nodes)
        for proxy in fleet.peer_proxy_by_node.values():
            proxy.silence()

    def _silence_store_of(self, nodes: list[NodeProcess]) -> None:
        fleet = self._fleet
        passes_half = fleet.rng.random() < HALF_ANSWER_SHARE
        for node in nodes:
            fleet.ledger.record_harm(node.name)
            fleet.store_proxy_by_node[node.name].silence(passes_half)

    async def _disturb_store(self) -> None:
        """Harm the connections of a node to the store for a while."""
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        proxy = fleet.store_proxy_by_node[node.name]
        proxy.disturb(Disturbance.draw(fleet.rng))
        await self._harm_for(node, fleet.rng.choice((0.3, 0.8, 2, 4)))
        proxy.disturb(Disturbance())
        fleet.ledger.record_harm(node.name)

    async def _harm_for(self, node: NodeProcess, seconds: float) -> None:
        """Wait, while something harms a node."""
        fleet = self._fleet
        end_ms = fleet.clock.now_ms() + seconds * MS_PER_SECOND
        while fleet.clock.now_ms() < end_ms:
            fleet.ledger.record_harm(node.name)
            left_ms = end_ms - fleet.clock.now_ms()
            await asyncio.sleep(min(1, left_ms / MS_PER_SECOND))

    def _record_fault(self, node: NodeProcess) -> None:
        fleet = self._fleet
        fleet.ledger.record_fault()
        fleet.ledger.record_harm(node.name)

    async def _write_oddly(self) -> None:
        fleet = self._fleet
        node = fleet.rng.choice(fleet.nodes)
        self._odd_writer.write_policy()
        # The next record is a sound one again.
        fleet.operators.publish()
        self._odd_writer.write_entry(node)
        await self._odd_writer.send(node, f'i-{fleet.servers_started}')
