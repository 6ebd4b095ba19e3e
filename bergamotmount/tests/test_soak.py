"""A short soak with real processes; longer ones are run by hand."""

import asyncio
import unittest

from bergamotmount.tools.soak.__main__ import Case, regressions, soak

CASE = Case(seed=105, seconds=6, hosts=4, per_s=40)


class SoakTest(unittest.TestCase):
    """No promise is broken while processes and connections fail."""

    def test_a_short_seeded_soak(self):
        self.assertEqual(asyncio.run(soak(CASE)), [])

    def test_each_regression_names_its_cause(self):
        for case in regressions():
            self.assertTrue(case.cause, case.seed)
