"""Real processes beside odd entries, announcements and bytes."""

import asyncio
import pathlib
import random
import signal
import tempfile
import unittest

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import pack_request
from bergamotmount.platform import names
from bergamotmount.tools.ports import PortAllocator
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.httpcaller import ask
from bergamotmount.tools.soak.ledger import Ledger
from bergamotmount.tools.soak.oddwriter import OddWriter
from bergamotmount.tools.soak.operators import make_policy
from bergamotmount.tools.soak.soakrun import node_breaches
from bergamotmount.tools.soak.standinserver import (
    ServerAddresses,
    StandinServer,
)
from bergamotmount.tools.soak.standinstore import StandinStore

SOURCE = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.77.0.1'

#: Time in which nodes find each other, with a second for a busy machine.
FIND_TIMEOUT_S = 8

#: Number of odd entries, announcements and other input of each kind.
ODD_INPUTS = 30

SERVICE_BY_ROUTE = {'order': 'desk', 'view': 'board'}

DEEP_ENTRY = b'["10.0.0.1:1","r","f",1,0,' + b'[' * 5000 + b']' * 5000 + b']'


class OddStoreTest(unittest.IsolatedAsyncioTestCase):
    """New nodes weren't found after one deeply nested entry (issue 40)."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ports = PortAllocator(HOST)
        self.rng = random.Random(1)
        clock = Clock()
        self.ledger = Ledger(clock)
        self.store = StandinStore(clock)
        self.store_address = f'{HOST}:{self.ports.take()}'
        await self.store.start(self.store_address)
        self.addCleanup(self.store.close)
        self.store.publish(make_policy(1, SERVICE_BY_ROUTE, self.rng))
        self.nodes: list[NodeProcess] = []

    async def asyncTearDown(self):
        for node in self.nodes:
            node.is_up = False
            node.send_signal(signal.SIGKILL)
            await node.wait_end(1)

    async def start_node(self, service: str) -> NodeProcess:
        """Start a node, and a server beside it."""
        number = len(self.nodes)
        node = NodeProcess(
            f'node-{number}',
            service,
            self.ports,
            HOST,
            self.store_address,
            self.folder,
        )
        self.nodes.append(node)
        await node.start(SOURCE)
        await node.wait_listening()
        addresses = ServerAddresses(
            node.addresses.server, node.addresses.control
        )
        server = StandinServer(
            f'i-{number}', service, addresses, self.ledger, self.rng
        )
        await server.start()
        self.addCleanup(server.close)
        return node

    async def assert_finds(self, node: NodeProcess, route: str) -> None:
        """Check that a node reaches the server of a route at another node."""
        async with asyncio.timeout(FIND_TIMEOUT_S):
            for number in range(10**6):
                request = f'{route}-{node.name}-{number}'
                headers = ['Host', 'shop.example', 'X-Attempt-Id', request]
                self.ledger.record_sent(request, node.name, is_idempotent=True)
                packed = pack_request('GET', f'/{route}/1', headers, b'')
                response = await ask(node.addresses.callers, packed)
                if response is not None and response.status == 200:
                    return
                await asyncio.sleep(0.1)

    async def test_nodes_find_each_other(self):
        """The entry stays, and each node that starts reads it."""
        self.store.write(names.MEMBERS_TOPIC, 'odd', DEEP_ENTRY)
        first = await self.start_node('desk')
        second = await self.start_node('board')
        await self.assert_finds(first, 'view')
        await self.assert_finds(second, 'order')
        self.assert_sound()

    async def test_any_odd_input(self):
        """A node that starts after all of it, and those that took it, serve."""
        first = await self.start_node('desk')
        writer = OddWriter(self.store, self.rng)
        for version in range(2, ODD_INPUTS):
            writer.write_entry(first)
            writer.write_policy()
            self.store.publish(make_policy(version, SERVICE_BY_ROUTE, self.rng))
            await writer.send(first, 'i-0')
        second = await self.start_node('board')
        await self.assert_finds(first, 'view')
        await self.assert_finds(second, 'order')
        self.assert_sound()

    def assert_sound(self) -> None:
        """Check that no process ended or had an error of its own."""
        for node in self.nodes:
            self.assertTrue(node.is_up)
            self.assertEqual(node_breaches(node), [])
