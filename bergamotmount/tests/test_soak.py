"""Short, seeded runs of the soak: real processes, the real clock."""

import asyncio
import contextlib
import pathlib
import random
import shutil
import tempfile
import unittest

from bergamotmount.clock import LoopClock
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.tools.ports import PortAllocator
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.ledger import Ledger, Promise
from bergamotmount.tools.soak.faultproxy import Disturbance, FaultProxy
from bergamotmount.tools.soak.fleet import SoakOptions
from bergamotmount.tools.soak.soakrun import SoakRun, node_breaches

SOURCE = pathlib.Path(__file__).resolve().parents[2]

#: Least share of the requests that a run must have served to say anything.
MIN_SERVED = 0.8


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """No promise is broken under faults that overlap."""

    async def play(self, seed: int, kills: bool) -> None:
        """Play one run and check it; the logs of a broken one stay."""
        options = SoakOptions(seed, 10, 4, (SOURCE,), kills)
        outcome = await SoakRun(options).play()
        logs = f'seed {seed}, logs in {outcome.folder}'
        self.assertEqual(outcome.breaches, [], logs)
        served = outcome.summary.get('200', 0) / outcome.summary['requests']
        self.assertGreater(served, MIN_SERVED, logs)
        shutil.rmtree(outcome.folder)

    async def test_planned_and_unplanned_faults(self):
        """Orders ran twice, refusals weren't true, odd input ended tasks."""
        await asyncio.gather(
            self.play(1, kills=True), self.play(51, kills=True)
        )

    async def test_planned_work(self):
        """Stops cut requests that were late or behind others (issue 36)."""
        await asyncio.gather(
            self.play(2, kills=False), self.play(52, kills=False)
        )


class NodeCheckTest(unittest.TestCase):
    """The check of processes finds what it is meant to find."""

    def test_own_ends_and_errors(self):
        """A task that failed was started again, and nobody noticed."""
        with tempfile.TemporaryDirectory() as folder:
            ports = PortAllocator()
            path = pathlib.Path(folder)
            node = NodeProcess('n-1', 'a', ports, '127.0.0.1', '', path)
            node.own_ends.append(-11)
            log = path / 'n-1.1.log'
            log.write_text('{"level": "info"}\n{"level": "error"}\n')
            promises = [breach.promise for breach in node_breaches(node)]
        expected = [Promise.PROCESS_RUNS, Promise.NO_OWN_ERROR]
        self.assertEqual(promises, expected)


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Connections to a node are harmed as told, and carried again after it."""

    async def asyncSetUp(self):
        self.target = await asyncio.start_server(self.echo, '127.0.0.1', 0)
        port = self.target.sockets[0].getsockname()[1]
        proxy_address = f'127.0.0.2:{port}'
        self.proxy = FaultProxy(
            proxy_address, f'127.0.0.1:{port}', random.Random(1)
        )
        await self.proxy.start()
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.2', port
        )

    async def asyncTearDown(self):
        self.writer.close()
        self.proxy.close()
        self.target.close()
        await asyncio.sleep(0.05)

    async def echo(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(100):
                writer.write(chunk)
        writer.close()

    async def answered(self, timeout_s: float) -> bytes:
        """Return what is echoed within a time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.reader.read(100)
        except TimeoutError:
            return b''

    async def test_bytes_are_held_back_and_come_late(self):
        for direction in ('to_node', 'from_node'):
            self.writer.write(b'a')
            self.assertEqual(await self.answered(1), b'a')
            self.proxy.disturb(Disturbance(1, **{direction: True}))
            self.writer.write(b'b')
            self.assertEqual(await self.answered(0.1), b'')
            self.proxy.disturb(Disturbance())
            self.assertEqual(await self.answered(1), b'b')

    async def test_silenced_connection_carries_nothing_again(self):
        """Its TCP stays up; half of what comes next may be carried."""
        for passes_half, expected in ((True, b'ab'), (False, b'')):
            await self.asyncTearDown()
            await self.asyncSetUp()
            self.writer.write(b'a')
            self.assertEqual(await self.answered(1), b'a')
            self.proxy.silence(passes_half)
            for _ in range(2):
                self.writer.write(b'abcd')
                echoed = await self.answered(0.1)
                self.assertEqual(echoed, expected[: len(expected) // 2])
                expected = b''
            self.assertFalse(self.reader.at_eof())

    async def test_connections_are_reset(self):
        self.writer.write(b'a')
        await self.answered(1)
        while self.proxy._carried:
            self.proxy.reset_some()
            await asyncio.sleep(0.01)
        with self.assertRaises(ConnectionResetError):
            await self.answered(1)


class LedgerTest(VirtualTestCase):
    """The check finds what it is meant to find."""

    def setUp(self):
        self.ledger = Ledger(LoopClock())

    def promises(self) -> list[Promise]:
        """Return the promises that the ledger finds broken."""
        return [breach.promise for breach in self.ledger.breaches()]

    async def test_order_that_ran_twice(self):
        self.ledger.record_sent('o-1', 'node-1', is_idempotent=False)
        self.ledger.record_run('o-1', 'i-1')
        self.ledger.record_run('o-1', 'i-2')
        self.ledger.record_end('o-1', 200, is_own=True)
        self.assertEqual(self.promises(), [Promise.AT_MOST_ONCE])

    async def test_refused_order_that_ran(self):
        for status in (408, 421, 429, 503):
            request = f'o-{status}'
            self.ledger.record_sent(request, 'node-1', is_idempotent=False)
            self.ledger.record_end(request, status, is_own=True)
            self.ledger.record_run(request, 'i-1')
        self.assertEqual(set(self.promises()), {Promise.TRUE_REFUSAL})
        self.assertEqual(len(self.promises()), 4)

    async def test_answer_of_another_request(self):
        self.ledger.record_sent('v-1', 'node-1', is_idempotent=True)
        self.ledger.record_run('v-1', 'i-1')
        self.ledger.record_end('v-1', 200, is_own=False)
        self.assertEqual(self.promises(), [Promise.OWN_ANSWER])

    async def test_request_after_a_departure(self):
        self.ledger.record_departure('i-1')
        self.ledger.record_sent('v-1', 'node-1', is_idempotent=True)
        await asyncio.sleep(2.1)
        self.ledger.record_run('v-1', 'i-1')
        self.assertEqual(self.promises(), [Promise.DEPARTURE])

    async def test_request_handled_by_an_older_version(self):
        """Routes that moved, were dropped or were added followed version 1."""
        self.ledger.record_change({'moving': 'a', 'dropped': 'a'})
        await asyncio.sleep(1)
        self.ledger.record_change({'moving': 'b', 'added': 'b'})
        for wait_s, expected in ((1.9, 0), (0.2, 3)):
            await asyncio.sleep(wait_s)
            for route, status in (('moving', 200), ('dropped', 200)):
                request = f'{route}-{wait_s}'
                self.ledger.record_sent(request, 'node-1', True, route)
                self.ledger.record_run(request, 'i-1', 'a')
                self.ledger.record_end(request, status, is_own=True)
            self.ledger.record_sent(f'added-{wait_s}', 'node-1', True, 'added')
            self.ledger.record_end(f'added-{wait_s}', 404, is_own=True)
            self.assertEqual(len(self.promises()), expected)
            self.assertLessEqual(
                set(self.promises()), {Promise.POLICY_IN_FORCE}
            )

    async def test_harmed_node_is_excused_for_a_while(self):
        self.ledger.record_change({'moving': 'a'})
        self.ledger.record_change({'moving': 'b'})
        await asyncio.sleep(5)
        for wait_s, expected in ((0, 0), (3.1, 1)):
            if not expected:
                self.ledger.record_harm('node-1')
            await asyncio.sleep(wait_s)
            self.ledger.record_sent(f'm-{wait_s}', 'node-1', True, 'moving')
            self.ledger.record_run(f'm-{wait_s}', 'i-1', 'a')
            self.ledger.record_end(f'm-{wait_s}', 200, is_own=True)
            self.assertEqual(len(self.promises()), expected)

    async def test_request_cut_by_a_stop(self):
        for has_fault in (False, True):
            self.ledger = Ledger(LoopClock())
            if has_fault:
                self.ledger.record_fault()
            self.ledger.record_stop('node-1')
            self.ledger.record_sent('v-1', 'node-1', is_idempotent=True)
            self.ledger.record_run('v-1', 'i-1')
            await asyncio.sleep(1)
            self.ledger.record_end('v-1', 0, is_own=True)
            expected = [] if has_fault else [Promise.PLANNED_STOP]
            self.assertEqual(self.promises(), expected)
