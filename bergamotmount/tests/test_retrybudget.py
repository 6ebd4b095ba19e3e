"""Tests of the retry budget as a bound over all nodes together."""

import asyncio
import collections
import random

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.retrybudget import (
    RetryBudget,
    RetryTerms,
    ServiceRetries,
)
from bergamotmount.rank import OPEN_RANK
from bergamotmount.tests.virtualtime import VirtualTestCase

RATIO = 0.04
WINDOW_MS = 10_000


class BudgetTest(VirtualTestCase):
    """The sum of all repeats stays within the share, in any window."""

    async def test_one_node(self):
        budget = RetryBudget(LoopClock(), RATIO, WINDOW_MS)
        self.assertFalse(budget.take())
        for _ in range(100):
            budget.sent()
        self.assertEqual(sum(budget.take() for _ in range(10)), 4)
        await asyncio.sleep(WINDOW_MS / 1000 + 1)
        self.assertFalse(budget.take())

    async def test_any_split_over_nodes_with_restarts(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                await self.check_nodes(random.Random(seed))

    async def check_nodes(self, rng: random.Random):
        clock = LoopClock()
        count = rng.randint(1, 40)
        budgets = [RetryBudget(clock, RATIO, WINDOW_MS) for _ in range(count)]
        sent: collections.deque = collections.deque()
        repeated: collections.deque = collections.deque()
        for _ in range(3000):
            await asyncio.sleep(rng.uniform(0, 0.02))
            now_ms = clock.now_ms()
            index = int(count * rng.random() ** 2)
            if not rng.randrange(500):
                budgets[index] = RetryBudget(clock, RATIO, WINDOW_MS)
            budgets[index].sent()
            sent.append(now_ms)
            if budgets[index].take():
                repeated.append(now_ms)
            while repeated and repeated[0] < now_ms - WINDOW_MS:
                repeated.popleft()
            while sent and sent[0] < now_ms - 2 * WINDOW_MS:
                sent.popleft()
            self.assertLessEqual(len(repeated), RATIO * len(sent) + 1)


class ShedReplayTest(VirtualTestCase):
    """All servers shed half of it: the important chains end well."""

    async def replay(self, seconds: int) -> dict[bool, list[bool]]:
        """Send chains of eight calls; return how they ended, by importance."""
        rng = random.Random(6)
        self.retries = ServiceRetries(
            LoopClock(),
            RetryTerms(0.12, 0.01, WINDOW_MS),
        )
        for _ in range(2000):
            await asyncio.sleep(0.002)
            self.retries.sent()
            self.retries.tried()
        self.assertEqual(self.retries.threshold(), OPEN_RANK)
        ended: dict[bool, list[bool]] = {True: [], False: []}
        for _ in range(seconds * 60):
            await asyncio.sleep(1 / 60)
            rank = rng.uniform(0, 3)
            if rank <= self.retries.threshold():
                ended[rank < 0.2].append(self.chain(rank, rng))
        return ended

    def chain(self, rank: float, rng: random.Random) -> bool:
        for _ in range(8):
            self.retries.sent()
            self.retries.tried()
            while rng.random() < 0.55:
                if not self.retries.take(rank, may_have_run=False):
                    return False
                self.retries.tried()
        return True

    async def test_important_chains_are_carried_through(self):
        ended = await self.replay(6)
        important = ended[True]
        self.assertGreater(len(important), 15)
        self.assertGreaterEqual(sum(important), 0.95 * len(important))
        self.assertLess(self.retries.threshold(), 2)

    async def test_it_opens_again(self):
        await self.replay(3)
        for _ in range(1000):
            await asyncio.sleep(0.005)
            self.retries.sent()
            self.retries.tried()
        self.assertEqual(self.retries.threshold(), OPEN_RANK)
