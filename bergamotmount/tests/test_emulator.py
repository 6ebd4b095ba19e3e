"""Replays of loads against the decisions, by the emulation.

Bounds are those of the brief's measures: nine tenths of what the servers can
do at best, and 99 in 100 of the important requests.
"""

import dataclasses
import math
import unittest

from bergamotmount.tools.emulator import (
    REQUEST_KINDS,
    SCENARIOS,
    WARM_UP_MS,
    MEDIAN_SERVICE_MS,
    SERVICE_TIME_SIGMA,
    Emulation,
    Scenario,
    emulate,
)
from bergamotmount.tools.virtualloop import run_virtual

GOODPUT = 0.9
IMPORTANT = 0.99
SEEDS = (1, 2, 3)


def scenario(name: str, **changes) -> Scenario:
    """Return a scenario by its name."""
    found = next(each for each in SCENARIOS if each.name == name)
    return dataclasses.replace(found, **changes)


def play(played: Scenario, seed: int) -> Emulation:
    """Play a scenario."""
    return run_virtual(emulate(played, seed))


def best_worth(played: Scenario) -> float:
    """Return the share of worth that all slots at full use could serve."""
    served: float = 0
    asked: float = 0
    work_ms = MEDIAN_SERVICE_MS * math.exp(SERVICE_TIME_SIGMA**2 / 2)
    for second in range(WARM_UP_MS // 1000, int(played.seconds)):
        rate = played.rate(second + 0.5)
        slots = played.slots * sum(played.speeds) * (1 - played.headroom)
        calls = slots / work_ms * 1000 / played.slowdown(second + 0.5)
        for kind in REQUEST_KINDS:
            demand = rate * kind.share
            done = min(demand, calls / kind.calls)
            calls -= done * kind.calls
            served += done * kind.worth
            asked += demand * kind.worth
    return served / asked


class OverloadReplayTest(unittest.TestCase):
    """The scarce service is used well, for what matters most."""

    def check(self, name: str) -> None:
        played = scenario(name)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                emulation = play(played, seed)
                least = GOODPUT * best_worth(played)
                self.assertGreaterEqual(emulation.worth(), least)
                order = emulation.share('served', 'order')
                self.assertGreaterEqual(order, IMPORTANT)

    def test_calm(self):
        self.check('calm')

    def test_steady_overload(self):
        self.check('steady')

    def test_a_jump_to_twice_the_demand(self):
        self.check('jump')

    def test_a_wave(self):
        self.check('wave')

    def test_one_server_sheds_half(self):
        self.check('shedding')

    def test_free_slots_pay_where_full_servers_slow_down(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                kept = play(scenario('steady'), seed).worth()
                full = play(scenario('steady', headroom=0), seed).worth()
                self.assertGreater(kept, full)

    def test_the_same_seed_gives_the_same_result(self):
        first = play(scenario('jump'), 5).count_by_outcome
        self.assertEqual(play(scenario('jump'), 5).count_by_outcome, first)
