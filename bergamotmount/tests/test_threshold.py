"""Tests of thresholds: set by capacity and whole demand, passed on, faded."""

import asyncio
import collections
import math
import random
import unittest

from bergamotmount.clock import LoopClock
from bergamotmount.limit import ConcurrencyLimit, ServiceTime
from bergamotmount.rank import OPEN_RANK
from bergamotmount.reports import (
    LEAST_OPEN,
    DemandReport,
    ThresholdReport,
    rank_for,
    rank_for_all,
)
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.threshold import DRAIN_MS, TARGET_SHARE, ThresholdController
from bergamotmount.thresholdview import FADE_MS, HOLD_MS, ThresholdView


class RankTest(unittest.TestCase):
    """Levels are let in one after the other, the last one in part."""

    def test_all_fits(self):
        self.assertEqual(rank_for([1, 1, 1, 1], 4), OPEN_RANK)

    def test_a_level_in_part(self):
        self.assertEqual(rank_for([1, 1, 4, 0], 3), 2.25)

    def test_a_little_stays_open(self):
        self.assertEqual(rank_for([1, 1, 4, 0], 0), LEAST_OPEN)

    def test_servers_add_up(self):
        slow = DemandReport(10, (0, 0, 40, 0))
        fast = DemandReport(30, (0, 0, 40, 0))
        self.assertEqual(rank_for_all([slow, fast]), 2.5)
        unknown = DemandReport(math.inf, (0, 0, 40, 0))
        self.assertEqual(rank_for_all([slow, unknown]), OPEN_RANK)


class ControllerTest(VirtualTestCase):
    """A server of ten slots, and an entry that follows its threshold late."""

    def make(self) -> None:
        self.rng = random.Random(3)
        self.clock = LoopClock()
        self.limit = ConcurrencyLimit(self.clock)
        self.limit.announce(10)
        self.service_time = ServiceTime(self.clock)
        self.controller = ThresholdController(
            self.clock,
            self.limit,
            self.service_time,
        )
        self.known = collections.deque(OPEN_RANK for _ in range(6))
        self.thresholds: list[float] = []

    async def play(self, seconds: float, per_s: float) -> None:
        """Let requests of all levels come; each needs 100 ms of a slot."""
        for _ in range(int(seconds * 10)):
            self.known.append(self.controller.current())
            entry_threshold = self.known.popleft()
            for _ in range(int(per_s / 10)):
                await asyncio.sleep(0.1 / int(per_s / 10))
                rank = self.rng.uniform(0, OPEN_RANK)
                self.service_time.add(100)
                if rank <= entry_threshold:
                    self.controller.arrived(rank, 1, entry_threshold)
                    self.controller.completed(1)
            self.thresholds.append(self.controller.current())

    async def test_it_settles_where_demand_fits(self):
        self.make()
        await self.play(5, per_s=400)
        wanted = OPEN_RANK * 100 * TARGET_SHARE / 400
        settled = self.thresholds[20:]
        self.assertAlmostEqual(sum(settled) / len(settled), wanted, delta=0.1)
        self.assertLess(max(settled) - min(settled), 0.6)

    async def test_a_jump_is_answered_within_a_second_without_a_swing(self):
        self.make()
        await self.play(3, per_s=90)
        self.assertEqual(min(self.thresholds), OPEN_RANK)
        self.thresholds.clear()
        await self.play(5, per_s=200)
        wanted = OPEN_RANK * 100 * TARGET_SHARE / 200
        self.assertLess(self.thresholds[15], wanted + 0.4)
        for threshold in self.thresholds[15:]:
            self.assertAlmostEqual(threshold, wanted, delta=0.4)

    async def test_it_opens_when_demand_ends(self):
        self.make()
        await self.play(3, per_s=400)
        self.assertLess(self.controller.current(), 1.5)
        await asyncio.sleep(2)
        self.assertEqual(self.controller.current(), OPEN_RANK)

    async def test_what_waits_is_worked_off(self):
        self.make()
        for _ in range(100):
            await asyncio.sleep(0.01)
            self.service_time.add(100)
            self.controller.arrived(0.5, 3)
        waiting = 2 * 10
        allowed = 100 * TARGET_SHARE - waiting / DRAIN_MS * 1000
        report = self.controller.report()
        self.assertAlmostEqual(report.allowed, allowed, delta=1)

    async def test_one_arrival_stands_for_all_that_stayed_outside(self):
        self.make()
        for _ in range(1000):
            await asyncio.sleep(0.01)
            self.controller.arrived(2.1, 1, 2.25)
            self.controller.arrived(1.5, 1, 2.25)
        demand = self.controller.report().demand
        self.assertAlmostEqual(demand[2], 400, delta=5)
        self.assertAlmostEqual(demand[1], 100, delta=2)


class ViewTest(VirtualTestCase):
    """What is heard holds for a while, then fades until all is open."""

    def closed_at(self, rank: float) -> DemandReport:
        return DemandReport(rank, (1, 1, 1, 1))

    async def test_reports_of_all_servers_count(self):
        view = ThresholdView(LoopClock())
        view.hear_server('a', 'a-1', self.closed_at(1.5))
        self.assertEqual(view.current('a'), 1.5)
        await asyncio.sleep(0.03)
        view.hear_server('a', 'a-2', self.closed_at(4))
        self.assertEqual(view.current('a'), 2.75)
        view.forget('a-1')
        await asyncio.sleep(0.03)
        self.assertEqual(view.current('a'), OPEN_RANK)

    async def test_a_report_fades_until_it_is_open(self):
        view = ThresholdView(LoopClock())
        view.hear_server('a', 'a-1', self.closed_at(1.5))
        self.assertEqual(view.current('a'), 1.5)
        await asyncio.sleep((HOLD_MS + FADE_MS / 2) / 1000)
        self.assertAlmostEqual(view.current('a'), 2.75)
        await asyncio.sleep(FADE_MS / 1000)
        self.assertEqual(view.current('a'), OPEN_RANK)

    async def test_a_report_told_in_a_circle_still_fades(self):
        views = [ThresholdView(LoopClock()) for _ in range(3)]
        views[0].hear_server('a', 'a-1', self.closed_at(0.5))
        for step in range(300):
            await asyncio.sleep(0.05)
            teller = views[step % 3]
            hearer = views[(step + 1) % 3]
            for service, report in teller.reports().items():
                hearer.hear_told(service, report)
        for view in views:
            self.assertEqual(view.current('a'), OPEN_RANK)

    async def test_older_news_does_not_replace_newer(self):
        await asyncio.sleep(1)
        view = ThresholdView(LoopClock())
        view.hear_told('a', ThresholdReport(2, 10))
        view.hear_told('a', ThresholdReport(1, 200))
        self.assertEqual(view.current('a'), 2)

    async def test_told_news_counts_when_it_is_newer_than_reports(self):
        view = ThresholdView(LoopClock())
        view.hear_server('a', 'a-1', self.closed_at(4))
        await asyncio.sleep(0.4)
        view.hear_told('a', ThresholdReport(1.5, 50))
        self.assertEqual(view.current('a'), 1.5)

    async def test_only_closed_services_are_passed_on(self):
        view = ThresholdView(LoopClock())
        view.hear_server('a', 'a-1', self.closed_at(1))
        view.hear_server('b', 'b-1', self.closed_at(9))
        self.assertEqual(set(view.closed()), {'a'})
        self.assertEqual(set(view.reports()), {'a', 'b'})
