"""Tests of what is learned from the deadlines of calls."""

import asyncio
import random

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.runs import Run, RunsInHand
from bergamotmount.tests.virtualtime import VirtualTestCase


class RunsTestCase(VirtualTestCase):
    """Thirty runs in hand at any time, replaced one by one."""

    def make(self) -> None:
        self.rng = random.Random(5)
        self.clock = LoopClock()
        self.runs = RunsInHand(self.clock, self.rng)
        self.held: list[Run] = []

    def start_run(self, route: str = 'read') -> Run:
        now_ms = self.clock.now_ms()
        deadline_ms = now_ms + self.rng.uniform(500, 1000)
        run = Run(route, self.rng.uniform(0, 4), deadline_ms)
        self.runs.add(run)
        self.held.append(run)
        if len(self.held) > 30:
            self.runs.remove(self.held.pop(0))
        return run

    async def play(self, calls: int) -> list[tuple[Run, Run | None]]:
        """Let each run make a call; mix in as many requests of clients."""
        found = []
        for _ in range(calls):
            await asyncio.sleep(0.005)
            parent = self.start_run()
            expires_ms = parent.deadline_ms - self.rng.uniform(0, 1)
            found.append((parent, self.runs.take_call('look', expires_ms)))
            strange_ms = self.clock.now_ms() + self.rng.uniform(300, 800)
            stranger = self.runs.take_call('buy', strange_ms)
            found.append((None, stranger))
        return found


class ParentTest(RunsTestCase):
    """Calls are told from new requests by their deadlines alone."""

    async def test_calls_and_strangers(self):
        self.make()
        found = (await self.play(400))[200:]
        of_calls = [pair for pair in found if pair[0] is not None]
        right = sum(parent is taken for parent, taken in of_calls)
        self.assertGreater(right, 0.85 * len(of_calls))
        strangers = [taken for parent, taken in found if parent is None]
        taken_as_calls = sum(taken is not None for taken in strangers)
        self.assertLess(taken_as_calls, 0.05 * len(strangers))

    async def test_a_call_with_a_shorter_deadline_of_its_own(self):
        self.make()
        await self.play(200)
        for _ in range(100):
            parent = self.start_run()
            expires_ms = min(
                parent.deadline_ms,
                self.clock.now_ms() + 650,
            )
            self.runs.take_call('short', expires_ms)
        taken = self.runs.take_call('short', self.clock.now_ms() + 650)
        self.assertIsNotNone(taken)
        self.assertGreater(taken.deadline_ms, self.clock.now_ms() + 650)

    async def test_runs_of_other_routes_are_no_parents(self):
        self.make()
        for _ in range(100):
            parent = self.start_run()
            self.runs.take_call('look', parent.deadline_ms - 0.5)
            self.start_run('quiet')
            await asyncio.sleep(0.005)
        for _ in range(50):
            taken = self.runs.take_call('look', self.clock.now_ms() + 300)
            self.assertEqual(taken.route, 'read')

    async def test_what_outlives_all_runs_is_new(self):
        self.make()
        await self.play(200)
        later_ms = self.clock.now_ms() + 1500
        self.assertIsNone(self.runs.take_call('look', later_ms))

    async def test_nothing_in_hand(self):
        self.make()
        self.assertIsNone(self.runs.take_call('look', 500))


class TurnTest(RunsTestCase):
    """A run's calls are told from those of others by their turns."""

    async def test_the_next_call_follows_the_answer(self):
        self.make()
        await self.learn()
        first, second = self.begin(1), self.begin(2)
        for run in (first, second):
            self.assertIs(self.call(), run)
            await asyncio.sleep(0.02)
        for run in (second, first, second):
            self.runs.answered('look', run)
            await asyncio.sleep(0.0003)
            self.assertIs(self.call(), run)
            await asyncio.sleep(0.02)

    async def test_a_first_call_comes_from_the_oldest_run_without_one(self):
        self.make()
        await self.learn()
        runs = [self.begin(number) for number in range(4)]
        for run in runs:
            self.assertIs(self.call(), run)
            await asyncio.sleep(0.02)

    async def test_an_abandoned_call_is_no_longer_open(self):
        self.make()
        await self.learn()
        run = self.begin(1)
        self.call()
        self.runs.abandoned(run)
        self.assertEqual((run.calls, run.open_calls), (1, 0))

    async def learn(self) -> None:
        """Let the graph learn that runs of ``read`` call ``look``."""
        for _ in range(100):
            parent = self.start_run()
            self.runs.take_call('look', parent.deadline_ms - 0.5)
            await asyncio.sleep(0.005)
        for run in self.held:
            self.runs.remove(run)
        self.assertEqual(self.runs.graph.callees('read'), ['look'])

    def begin(self, number: int) -> Run:
        now_ms = self.clock.now_ms()
        run = Run('read', number, now_ms + 900 + number)
        self.runs.add(run)
        run.started_ms += number
        return run

    def call(self) -> Run | None:
        return self.runs.take_call('look', self.clock.now_ms() + 300)
