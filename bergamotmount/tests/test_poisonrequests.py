"""Tests of the table of requests under which servers have crashed."""

import asyncio
import random

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.poisonrequests import (
    MAX_PROBES,
    MAX_RELAYED_REPORTS,
    MAX_REQUESTS,
    MIN_CRASHES,
    PROBE_DELAY_MS,
    RELAY_MS,
    RETENTION_MS,
    PoisonRequests,
)
from bergamotmount.reports import CrashReport
from bergamotmount.tests.virtualtime import VirtualTestCase

POISON = 7


def make_table() -> PoisonRequests:
    """Return an empty table."""
    return PoisonRequests(LoopClock(), random.Random(1))


def make_quarantined() -> PoisonRequests:
    """Return a table in which one request is quarantined."""
    poison_requests = make_table()
    for number in range(MIN_CRASHES):
        poison_requests.record_crash(POISON, f'i-{number}')
    return poison_requests


class QuarantineTest(VirtualTestCase):
    """A request is quarantined by crashes, and cleared by a success."""

    async def test_crashes_of_one_server_count_once(self):
        """Reports that nodes relay in a loop could add up."""
        poison_requests = make_table()
        for _ in range(10):
            poison_requests.record_crash(POISON, 'i-1')
        self.assertFalse(poison_requests.is_quarantined(POISON))

    async def test_success_clears_a_request(self):
        """A request that servers do run could stay refused."""
        poison_requests = make_quarantined()
        relayed = poison_requests.reports_to_relay()
        self.assertTrue(poison_requests.is_quarantined(POISON))
        await asyncio.sleep(1)
        poison_requests.record_success(POISON)
        self.assertFalse(poison_requests.is_quarantined(POISON))
        # The same crashes come back from a node that missed the answer.
        aged = [
            CrashReport(each.fingerprint, each.server, each.age_ms + 1100)
            for each in relayed
        ]
        await asyncio.sleep(0.1)
        poison_requests.learn(aged)
        self.assertFalse(poison_requests.is_quarantined(POISON))

    async def test_quarantine_ends(self):
        """A request could be refused for good."""
        poison_requests = make_quarantined()
        await asyncio.sleep(RETENTION_MS / 1000 + 1)
        self.assertEqual(poison_requests.reports_to_relay(), [])
        self.assertFalse(poison_requests.is_quarantined(POISON))
        self.assertTrue(poison_requests.is_empty)

    async def test_tables_agree_whatever_the_order_of_reports(self):
        """Nodes could disagree on a request after the same reports."""
        rng = random.Random(3)
        for _ in range(50):
            reports = [
                CrashReport(POISON, rng.choice(('', 'i-1', 'i-2', 'i-3')), age)
                for age in rng.sample(range(1000), 8)
            ]
            tables = [make_table() for _ in range(2)]
            for table in tables:
                table.learn(rng.sample(reports, len(reports)))
                table.learn(rng.sample(reports, len(reports)))
            clearances = [each.age_ms for each in reports if not each.server]
            newest = min(clearances, default=1000)
            expected = {
                each.server
                for each in reports
                if each.server and each.age_ms < newest
            }
            counts = {table.crashes(POISON) for table in tables}
            self.assertEqual(counts, {len(expected)})


class ProbeTest(VirtualTestCase):
    """A quarantined request is probed a few times only."""

    async def test_number_of_probes(self):
        """Probes could crash servers without end."""
        poison_requests = make_quarantined()
        probes = 0
        for _ in range(500):
            await asyncio.sleep(1)
            if poison_requests.try_probe(POISON):
                probes += 1
                poison_requests.record_crash(POISON, f'i-probe-{probes}')
        self.assertEqual(probes, MAX_PROBES)

    async def test_one_probe_at_a_time(self):
        """Requests that arrive together could all be probes."""
        poison_requests = make_quarantined()
        self.assertFalse(poison_requests.try_probe(POISON))
        wait_ms = poison_requests.retry_after_ms(POISON)
        self.assertEqual(wait_ms, PROBE_DELAY_MS)
        await asyncio.sleep(wait_ms / 1000)
        self.assertTrue(poison_requests.try_probe(POISON))
        self.assertFalse(poison_requests.try_probe(POISON))


class RelayTest(VirtualTestCase):
    """Reports reach all nodes, in bounded messages."""

    async def test_urgent_news(self):
        """Other nodes could send a request on until the next heartbeat."""
        calls = []
        poison_requests = PoisonRequests(
            LoopClock(), random.Random(1), lambda: calls.append(1)
        )
        poison_requests.record_crash(POISON, 'i-1')
        self.assertEqual(len(calls), 0)
        poison_requests.record_crash(POISON, 'i-2')
        self.assertEqual(len(calls), 1)
        poison_requests.record_crash(POISON, 'i-2')
        self.assertEqual(len(calls), 1)

    async def test_restarted_node_learns_of_a_quarantine(self):
        """Only news could be passed on, and a restarted node miss the rest."""
        poison_requests = make_quarantined()
        await asyncio.sleep(10 * RELAY_MS / 1000)
        restarted = make_table()
        sizes = []
        for _ in range(50):
            reports = poison_requests.reports_to_relay()
            sizes.append(len(reports))
            restarted.learn(reports)
        self.assertTrue(restarted.is_quarantined(POISON))
        self.assertGreater(sizes.count(0), 40)

    async def test_size_is_bounded(self):
        """Crashes with many requests in flight could fill memory or links."""
        poison_requests = make_quarantined()
        for number in range(3 * MAX_REQUESTS):
            poison_requests.record_crash(100 + number, 'i-1')
        reports = poison_requests.reports_to_relay()
        self.assertEqual(len(reports), MAX_RELAYED_REPORTS)
        self.assertIn(POISON, {each.fingerprint for each in reports})
        known = sum(
            bool(poison_requests.crashes(100 + number))
            for number in range(3 * MAX_REQUESTS)
        )
        self.assertLess(known, MAX_REQUESTS)
        self.assertTrue(poison_requests.is_quarantined(POISON))
