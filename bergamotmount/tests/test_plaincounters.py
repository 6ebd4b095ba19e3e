"""Tests of the counters that nodes on the platform export."""

import unittest

from bergamotmount.adapters.plaincounters import PlainCounters
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import RemoteAddress
from bergamotmount.reasons import DenialReason
from bergamotmount.tools.virtualloop import run_virtual


class ScrapeTest(unittest.TestCase):
    """A scrape shows counts by reason, and current values."""

    def scrape(self, counters: PlainCounters) -> str:
        request = HttpRequest('GET', '/metrics', [])
        reply = run_virtual(counters.handle(request, RemoteAddress('')))
        return reply.body.decode()

    def test_denials_and_values(self):
        """Operators couldn't see how old the evidence on the policy is."""
        counters = PlainCounters()
        counters.denied(DenialReason.KEY_UNKNOWN)
        ages_ms = [250, 750]
        counters.watch('policy_evidence_age_ms', lambda: ages_ms.pop(0))
        scraped = self.scrape(counters)
        self.assertIn(
            'bergamotmount_denied_total{reason="key_unknown"} 1.0', scraped
        )
        self.assertIn('bergamotmount_policy_evidence_age_ms 250.0', scraped)
        self.assertIn(' 750.0', self.scrape(counters))
