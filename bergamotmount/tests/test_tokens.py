"""Tests of retry tokens, the ratio and the backoff."""

import random
import unittest
from unittest import mock

from bergamotmount.retry import RATIO_BURST, RetryRatio, backoff_ms
from bergamotmount.tokens import RetryPool

TREES = 300
MAX_DEPTH = 12


def run_tree(rng: random.Random, pool: RetryPool, depth: int) -> int:
    """Make calls below a request, losing some; return the retries."""
    if depth == MAX_DEPTH:
        return 0
    retries = 0
    for _ in range(rng.choice((0, 1, 1, 1, 2, 3))):
        retries += call_until_done(rng, pool, depth)
        if retries > 1000:
            return retries
    return retries


def call_until_done(rng: random.Random, pool: RetryPool, depth: int) -> int:
    """Make one call, retrying while tokens last; return the retries."""
    retries = 0
    while True:
        lent = pool.lend()
        below = RetryPool(lent)
        retries += run_tree(rng, below, depth + 1)
        rest = below.close()
        fate = rng.choice(('answered', 'refused', 'lost', 'twice'))
        if fate != 'lost':
            pool.give_back(rest, lent)
        if fate in {'answered', 'twice'} or retries > 1000:
            return retries
        if not pool.take():
            return retries
        retries += 1


class RetryPoolTest(unittest.TestCase):
    """Tokens are conserved, so retries are bounded over the whole tree."""

    def test_retries_are_bounded_on_random_trees(self):
        for seed in range(TREES):
            rng = random.Random(seed)
            tokens = rng.randrange(8)
            retries = run_tree(rng, RetryPool(tokens), 0)
            with self.subTest(seed=seed):
                self.assertLessEqual(retries, tokens)

    def test_copied_tokens_would_be_noticed(self):
        with (
            mock.patch.object(RetryPool, 'lend', lambda pool: pool.tokens),
            self.assertRaises(AssertionError),
        ):
            worst = max(
                run_tree(random.Random(seed), RetryPool(3), 0)
                for seed in range(20)
            )
            self.assertLessEqual(worst, 3)

    def test_more_than_was_lent_is_not_taken_back(self):
        pool = RetryPool(4)
        lent = pool.lend()
        pool.give_back(100, lent)
        self.assertEqual(pool.tokens, 4)

    def test_a_closed_pool_gives_nothing(self):
        pool = RetryPool(4)
        self.assertEqual(pool.close(), 4)
        pool.give_back(2, 2)
        self.assertEqual(
            (pool.close(), pool.take(), pool.lend()), (0, False, 0)
        )


class RetryRatioTest(unittest.TestCase):
    """Retries of a service stay a share of its first tries."""

    def test_budget_ends_and_is_earned_again(self):
        ratio = RetryRatio()
        self.assertEqual(sum(ratio.take() for _ in range(50)), RATIO_BURST)
        for _ in range(20):
            ratio.first_try(0.1)
        self.assertEqual(sum(ratio.take() for _ in range(50)), 2)


class BackoffTest(unittest.TestCase):
    """The wait doubles and is spread."""

    def test_bounds(self):
        rng = random.Random(1)
        for tries in range(1, 20):
            wait_ms = backoff_ms(10, tries, rng)
            self.assertGreaterEqual(wait_ms, 5)
            self.assertLessEqual(wait_ms, 640)
