"""Tests of the headers that callers set."""

import unittest

from bergamotmount.forwarding.callerheaders import (
    CallerHeaders,
    parse_caller_headers,
)
from bergamotmount.forwarding.headers import HeaderNames

_NAMES = HeaderNames()


class ParseCallerHeadersTest(unittest.TestCase):
    """Valid headers are read, others reject the request."""

    def test_stated_and_absent_headers(self):
        """A request without headers of ours could be rejected."""
        headers = [(_NAMES.request_id.lower(), 'r1'), (_NAMES.deadline, '800')]
        self.assertEqual(
            parse_caller_headers(headers, _NAMES), CallerHeaders('r1', 800)
        )
        self.assertEqual(
            parse_caller_headers([('Host', 'shop')], _NAMES), CallerHeaders()
        )

    def test_invalid_headers(self):
        """Two servers could read different values of one header."""
        for headers in (
            [(_NAMES.deadline, '800'), (_NAMES.deadline.upper(), '900')],
            [(_NAMES.request_id, 'r1'), (_NAMES.request_id, 'r1')],
            [(_NAMES.deadline, '-1')],
            [(_NAMES.deadline, '1.5')],
            [(_NAMES.deadline, '')],
        ):
            with self.subTest(headers=headers):
                self.assertIsNone(parse_caller_headers(headers, _NAMES))
