"""Tests of the processes that demo and benchmarks start."""

import asyncio
import socket
import unittest

from bergamotmount.tools.deployments import DEPLOYMENT_BY_NAME
from bergamotmount.tools.fleet import Fleet, ProcessEndedError
from bergamotmount.tools.ports import (
    LOOPBACK,
    PortAllocator,
    first_ephemeral_port,
    free_addresses,
)


class FreePortTest(unittest.TestCase):
    """Another socket took a port before the node bound it."""

    def test_no_port_of_outgoing_connections_and_none_twice(self):
        """Each call chose anew among ports that connections take too."""
        addresses = [free_addresses(3) for _ in range(100)]
        ports = [int(each.split(':')[1]) for row in addresses for each in row]
        self.assertEqual(len(set(ports)), 300)
        self.assertLess(max(ports), first_ephemeral_port())

    def test_port_in_use_is_left_out(self):
        """Another program may listen in the range."""
        next_port = PortAllocator().take()
        with socket.socket() as other:
            other.bind((LOOPBACK, next_port))
            self.assertNotEqual(PortAllocator().take(), next_port)


class ProcessEndTest(unittest.IsolatedAsyncioTestCase):
    """A node that can't start is reported at once."""

    async def test_node_whose_address_is_in_use(self):
        """The demo waited 40 s, and its traceback didn't name the node."""
        fleet = Fleet(DEPLOYMENT_BY_NAME['adomako'])
        name, node = next(iter(fleet.node_by_name.items()))
        host, _, port = node.peers.rpartition(':')
        with socket.create_server((host, int(port))):
            await fleet.start_log()
            await fleet.start_nodes([name])
            with self.assertRaises(ProcessEndedError) as caught:
                async with asyncio.timeout(10):
                    await fleet.wait_up()
            await fleet.stop()
        self.assertIn(name, str(caught.exception))
        self.assertIn('address already in use', str(caught.exception))
