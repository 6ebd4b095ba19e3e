"""A real node process with lowered limits, for tests with crowds."""

import asyncio
import os
import pathlib
import random
import signal
import tempfile
import unittest

from bergamotmount.clock import Clock
from bergamotmount.tests.crowds import Crowd, plain_request
from bergamotmount.tools.ports import PortAllocator
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.httpcaller import Response, ask
from bergamotmount.tools.soak.ledger import Ledger
from bergamotmount.tools.soak.operators import make_policy
from bergamotmount.tools.soak.soakrun import node_breaches
from bergamotmount.tools.soak.standinserver import (
    Misbehaviour,
    ServerAddresses,
    StandinServer,
)
from bergamotmount.tools.soak.standinstore import StandinStore

SOURCE = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.78.0.1'

#: Limits in the settings of the node. The process may use no more than these.
MEMORY_MB = 160
MAX_FDS = 2000

#: Limits of the policy on the body of a request, and on the time for a head.
MAX_BODY_BYTES = 16 * 1024 * 1024
HEADER_TIMEOUT_S = 10

SERVICE_BY_ROUTE = {'order': 'desk', 'view': 'desk', 'far': 'board'}

#: Interval at which the descriptors of the process are counted.
COUNT_INTERVAL_S = 0.05

#: Time in which an ordinary request must be answered after a crowd, with the
#: repeats of its caller.
ANSWER_TIMEOUT_S = 30

_OK = 200
_KB_PER_MB = 1024


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a node beside a server, and judges its process."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS
    max_body_bytes = MAX_BODY_BYTES

    #: By how much the server is slower than usual.
    slowdown = 1
    server_type = StandinServer

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ports = PortAllocator(HOST)
        self.rng = random.Random(1)
        self.ledger = Ledger(Clock())
        self.store = StandinStore(Clock())
        self.store_address = f'{HOST}:{self.ports.take()}'
        await self.store.start(self.store_address)
        self.addCleanup(self.store.close)
        policy = make_policy(1, SERVICE_BY_ROUTE, self.rng)
        policy['limits']['max_body_bytes'] = self.max_body_bytes
        policy['limits']['header_timeout_s'] = HEADER_TIMEOUT_S
        self.store.publish(policy)
        self.most_fds = 0
        self.node = self.make_node('node-0', 'desk')
        self.server = await self.start_with_server(self.node)
        self._counting = asyncio.create_task(self._count_fds())
        await self.assert_serves()

    async def asyncTearDown(self):
        self._counting.cancel()
        await self.end_node(self.node)

    def make_node(self, name: str, service: str) -> NodeProcess:
        """Return a node with the limits of this test."""
        node = NodeProcess(
            name, service, self.ports, HOST, self.store_address, self.folder
        )
        node.more_settings = [
            f'local_node.limits.memory_mb={self.memory_mb}',
            f'local_node.limits.max_fds={self.max_fds}',
        ]
        return node

    async def start_with_server(self, node: NodeProcess) -> StandinServer:
        """Start a node, and a server beside it."""
        await node.start(SOURCE)
        await node.wait_listening()
        addresses = ServerAddresses(
            node.addresses.server, node.addresses.control
        )
        server = self.server_type(
            f'i-{node.name}', node.service, addresses, self.ledger, self.rng
        )
        server.misbehaviour = Misbehaviour(slowdown=self.slowdown)
        await server.start()
        self.addCleanup(server.close)
        return server

    async def end_node(self, node: NodeProcess) -> None:
        """End a node's process."""
        node.is_up = False
        node.send_signal(signal.SIGKILL)
        await node.wait_end(1)

    async def play(self, crowd: Crowd, address: str = '') -> None:
        """Let a crowd come, and check the process with it still there."""
        self.addCleanup(crowd.close)
        await crowd.send(address or self.node.addresses.callers)
        try:
            self.assert_within_limits(self.node)
            await self.assert_serves()
            self.assert_within_limits(self.node)
        finally:
            crowd.close()
        self.assertEqual(node_breaches(self.node), [])

    async def assert_serves(self) -> None:
        """Check that an ordinary request is answered, if need be again."""
        response: Response | None = None
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while response is None or response.status != _OK:
                await asyncio.sleep(0.1)
                response = await ask(
                    self.node.addresses.callers, plain_request('plain'), 6
                )

    def assert_within_limits(self, node: NodeProcess) -> None:
        """Check that the process lives, and what it has used at most."""
        self.assertTrue(node.is_up)
        self.assertLessEqual(peak_memory_mb(node.pid), self.memory_mb)
        self.assertLessEqual(self.most_fds, self.max_fds)

    async def _count_fds(self) -> None:
        while self.node.is_up:
            self.most_fds = max(self.most_fds, open_fds(self.node.pid))
            await asyncio.sleep(COUNT_INTERVAL_S)


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has had resident, in MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        name, _, amount = line.partition(':')
        if name == 'VmHWM':
            return int(amount.split()[0]) / _KB_PER_MB
    raise LookupError('VmHWM')


def open_fds(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f'/proc/{pid}/fd'))
