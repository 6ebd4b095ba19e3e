"""Tests of the levels of requests by organisation and route."""

import unittest

from bergamotmount.forwarding.routetable import RouteTable
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.urgency import Urgency
from bergamotmount.rank import LEVELS
from bergamotmount.tests.test_organisations import keyed_policy
from bergamotmount.tests.test_routetable import policy, route


class UrgencyTest(unittest.TestCase):
    """The organisation goes before the route, within the levels there are."""

    def test_organisation_goes_before_route(self):
        """A route's level outweighed that of the organisation."""
        urgency = Urgency([1, 0, 1], [0, 1, 2])
        by_organisation = [
            [urgency.level_of(organisation, each) for each in (0, 1, 2)]
            for organisation in (0, 1)
        ]
        self.assertEqual(by_organisation, [[0, 0, 0], [1, 2, 3]])
        self.assertEqual(urgency.level_of(None, 1), 2)

    def test_any_number_of_levels(self):
        """A level beyond those that nodes know could not be admitted."""
        for organisation_levels in ([], [0], [5, 9], range(7)):
            urgency = Urgency(organisation_levels, range(3))
            last = max(organisation_levels, default=None)
            levels = [urgency.level_of(last, each) for each in range(3)]
            self.assertEqual(levels, sorted(levels))
            self.assertLess(levels[-1], LEVELS)
            self.assertEqual(len(set(levels)), 3)


class RouteTableLevelTest(unittest.TestCase):
    """A table without organisations uses the levels of its routes."""

    def test_levels_of_a_table(self):
        """A policy without organisations could order its routes anew."""
        plain = RouteTable(policy(route('read', '/a/', level=2)))
        self.assertEqual(plain.level_of(None, plain.policy.routes[0]), 2)
        first = Organisation('first', ('k',), level=0)
        second = Organisation('second', ('l',), level=1)
        keyed = RouteTable(keyed_policy(2, first, second))
        read = keyed.policy.routes[0]
        self.assertLess(
            keyed.level_of(first, read), keyed.level_of(second, read)
        )
