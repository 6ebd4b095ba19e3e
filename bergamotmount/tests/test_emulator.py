"""Overload control keeps goodput high in emulated load scenarios.

The required goodput is 90 % of the worth that the servers could achieve at
best, and 99 % of the most important requests have to be served.
"""

import dataclasses
import math
import unittest

from bergamotmount.tools.emulator import (
    MEDIAN_SERVICE_MS,
    REQUEST_KINDS,
    SCENARIOS,
    SERVICE_TIME_SIGMA,
    WARM_UP_MS,
    Emulation,
    Scenario,
    emulate,
)
from bergamotmount.tools.virtualloop import run_virtual

MIN_GOODPUT_SHARE = 0.9
MIN_IMPORTANT_SHARE = 0.99
SEEDS = (1, 2, 3)


def find_scenario(name: str, **changes) -> Scenario:
    """Return a scenario by name, with changes to its fields."""
    scenario = next(each for each in SCENARIOS if each.name == name)
    return dataclasses.replace(scenario, **changes)


def run_scenario(scenario: Scenario, seed: int) -> Emulation:
    """Run a scenario in virtual time."""
    return run_virtual(emulate(scenario, seed))


def max_worth_share(scenario: Scenario) -> float:
    """Return the share of the worth that fully used slots could serve."""
    served: float = 0
    requested: float = 0
    work_ms = MEDIAN_SERVICE_MS * math.exp(SERVICE_TIME_SIGMA**2 / 2)
    for second in range(WARM_UP_MS // 1000, int(scenario.seconds)):
        rate = scenario.rate(second + 0.5)
        slots = scenario.slots * sum(scenario.speeds) * (1 - scenario.headroom)
        calls = slots / work_ms * 1000 / scenario.slowdown(second + 0.5)
        for kind in REQUEST_KINDS:
            demand = rate * kind.share
            completed = min(demand, calls / kind.calls)
            calls -= completed * kind.calls
            served += completed * kind.worth
            requested += demand * kind.worth
    return served / requested


class OverloadGoodputTest(unittest.TestCase):
    """The capacity of a scarce service goes to the requests worth most.

    Capacity is wasted if calls fail at overloaded servers after other calls of
    the same request have run, or if less important requests take the slots.
    """

    def check_goodput(self, name: str) -> None:
        """Check the bounds on goodput and important requests for all seeds."""
        scenario = find_scenario(name)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulation = run_scenario(scenario, seed)
                min_worth = MIN_GOODPUT_SHARE * max_worth_share(scenario)
                self.assertGreaterEqual(emulation.worth(), min_worth)
                order_share = emulation.share('served', 'order')
                self.assertGreaterEqual(order_share, MIN_IMPORTANT_SHARE)

    def test_goodput_at_normal_load(self):
        """Requests that the servers can serve are not refused."""
        self.check_goodput('calm')

    def test_goodput_in_steady_overload(self):
        """Constant overload does not fill the slots with failing requests."""
        self.check_goodput('steady')

    def test_goodput_when_demand_doubles(self):
        """Goodput holds while the thresholds adapt to a sudden rise."""
        self.check_goodput('jump')

    def test_goodput_when_demand_oscillates(self):
        """Thresholds follow a demand that rises and falls continuously."""
        self.check_goodput('wave')

    def test_goodput_when_one_server_sheds_half(self):
        """Requests do not fail because one server refuses half its calls."""
        self.check_goodput('shedding')

    def test_slot_headroom_pays_when_full_servers_slow_down(self):
        """Filling all slots lowers goodput, as full servers slow down."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                with_headroom = run_scenario(
                    find_scenario('steady'),
                    seed,
                ).worth()
                without_headroom = run_scenario(
                    find_scenario('steady', headroom=0),
                    seed,
                ).worth()
                self.assertGreater(with_headroom, without_headroom)

    def test_same_seed_gives_same_result(self):
        """Results depend on nothing but the scenario and the seed."""
        first = run_scenario(find_scenario('jump'), 5).count_by_outcome
        self.assertEqual(
            run_scenario(find_scenario('jump'), 5).count_by_outcome,
            first,
        )
