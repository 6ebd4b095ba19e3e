"""Tests of the bound on lines, and of what is said of the rest."""

import asyncio

import logbook

from bergamotmount.clock import LoopClock
from bergamotmount.decisionlog import LINES_PER_KIND, DecisionLog
from bergamotmount.tests.virtualtime import VirtualTestCase


class DecisionLogTest(VirtualTestCase):
    """Lines are bounded by kind, and the rest is counted."""

    async def test_the_bound_and_the_count(self):
        with logbook.TestHandler() as handler:
            decisions = DecisionLog(LoopClock(), 'entry')
            for number in range(LINES_PER_KIND + 7):
                decisions.write('refused', request=number)
            decisions.write('unknown', request='7 f', rank=1.23456, empty='')
            await asyncio.sleep(1)
            decisions.write('refused', request=0)
            lines = [each.message for each in handler.records]
        self.assertEqual(len(lines), LINES_PER_KIND + 3)
        self.assertIn('unknown request=7_f rank=1.23 empty=-', lines)
        self.assertIn('left_out of=refused lines=7', lines)
