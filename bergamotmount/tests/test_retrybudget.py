"""Tests that the retry budget bounds the retries of all nodes together."""

import asyncio
import collections
import random

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.retrybudget import RetryBudget
from bergamotmount.tests.virtualtime import VirtualTestCase

RATIO = 0.04
WINDOW_MS = 10_000


class BudgetTest(VirtualTestCase):
    """The sum of all retries stays within the share, in any window."""

    async def test_one_node(self):
        """A node could retry more than its share, or on an old window."""
        budget = RetryBudget(LoopClock(), RATIO, WINDOW_MS)
        self.assertFalse(budget.try_spend())
        for _ in range(100):
            budget.record_request()
        self.assertEqual(sum(budget.try_spend() for _ in range(10)), 4)
        await asyncio.sleep(WINDOW_MS / 1000 + 1)
        self.assertFalse(budget.try_spend())

    async def test_any_split_over_nodes_with_restarts(self):
        """Uneven load or restarts could push the sum over the share."""
        for seed in range(10):
            with self.subTest(seed=seed):
                await self.check_nodes(random.Random(seed))

    async def check_nodes(self, rng: random.Random):
        """Send requests through random nodes; check the sum of retries."""
        clock = LoopClock()
        count = rng.randint(1, 40)
        budgets = [RetryBudget(clock, RATIO, WINDOW_MS) for _ in range(count)]
        requests_ms: collections.deque = collections.deque()
        retries_ms: collections.deque = collections.deque()
        for _ in range(3000):
            await asyncio.sleep(rng.uniform(0, 0.02))
            now_ms = clock.now_ms()
            index = int(count * rng.random() ** 2)
            if not rng.randrange(500):
                budgets[index] = RetryBudget(clock, RATIO, WINDOW_MS)
            budgets[index].record_request()
            requests_ms.append(now_ms)
            if budgets[index].try_spend():
                retries_ms.append(now_ms)
            while retries_ms and retries_ms[0] < now_ms - WINDOW_MS:
                retries_ms.popleft()
            while requests_ms and requests_ms[0] < now_ms - 2 * WINDOW_MS:
                requests_ms.popleft()
            self.assertLessEqual(len(retries_ms), RATIO * len(requests_ms) + 1)
