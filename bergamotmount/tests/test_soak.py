"""Short, seeded runs of the soak: real processes, the real clock."""

import asyncio
import pathlib
import shutil
import unittest

from bergamotmount.clock import LoopClock
from bergamotmount.tools.soak.ledger import Ledger, Promise
from bergamotmount.tools.soak.soakrun import SoakOptions, SoakRun
from bergamotmount.tests.virtualtime import VirtualTestCase

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
        """Orders ran twice, and refusals weren't true (issue 36)."""
        await asyncio.gather(
            self.play(1, kills=True), self.play(51, kills=True)
        )

    async def test_planned_work(self):
        """Stops cut requests that were late or behind others (issue 36)."""
        await asyncio.gather(
            self.play(2, kills=False), self.play(52, kills=False)
        )


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
