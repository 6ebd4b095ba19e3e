"""Tests of the fingerprints of requests."""

import unittest

from bergamotmount.fingerprint import fingerprint


class FingerprintTest(unittest.TestCase):
    """Requests that ask for the same have the same fingerprint."""

    def test_what_distinguishes_requests(self):
        """Two different requests could be taken for the same one."""
        requests = [
            ('GET', 'read /a/1', b''),
            ('POST', 'read /a/1', b''),
            ('GET', 'read /a/2', b''),
            ('GET', 'read /a/1', b'x'),
        ]
        fingerprints = {fingerprint(*request) for request in requests}
        self.assertEqual(len(fingerprints), len(requests))
        self.assertIn(fingerprint('GET', 'read /a/1', b''), fingerprints)
