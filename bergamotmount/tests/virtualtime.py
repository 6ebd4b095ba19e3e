"""Base class of test cases that run under virtual time."""

import asyncio
import unittest

from bergamotmount.tools.virtualloop import run_virtual


class VirtualTestCase(unittest.TestCase):
    """Test case whose ``async`` tests run under virtual time."""

    def _callTestMethod(self, method) -> None:
        outcome = method()
        if asyncio.iscoroutine(outcome):
            run_virtual(outcome)
