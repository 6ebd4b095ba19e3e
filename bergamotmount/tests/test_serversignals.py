"""Tests of the signals that servers give in their responses."""

import math
import unittest

from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.serversignals import (
    NO_SIGNALS,
    ServerSignals,
    read_signals,
)

_NAMES = HeaderNames()


class ReadSignalsTest(unittest.TestCase):
    """Signals are read from the headers of a response."""

    def test_both_signals(self):
        """The case of a header's name could hide a signal."""
        headers = [
            (_NAMES.rate_limit.upper(), '13.3'),
            ('X-Own', '7'),
            (_NAMES.leaving.lower(), '1'),
        ]
        self.assertEqual(
            read_signals(headers, _NAMES), ServerSignals(13.3, is_leaving=True)
        )

    def test_malformed_signals_are_absent(self):
        """A header that can't be read could stop a sound server's requests."""
        for text in ('', 'none', '-1', 'nan'):
            headers = [(_NAMES.rate_limit, text), (_NAMES.leaving, '0')]
            self.assertIs(read_signals(headers, _NAMES), NO_SIGNALS)
        self.assertEqual(NO_SIGNALS.rate_limit, math.inf)
