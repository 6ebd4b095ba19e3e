"""Tests of retry tokens, the retry ratio and the backoff."""

import random
import unittest
from unittest import mock

from bergamotmount.retry import RATIO_BURST, RetryRatio, backoff_ms
from bergamotmount.tokens import RetryPool

TREE_COUNT = 300
MAX_DEPTH = 12


def run_tree(rng: random.Random, pool: RetryPool, depth: int) -> int:
    """Make the nested calls of a request; return the number of retries."""
    if depth == MAX_DEPTH:
        return 0
    retries = 0
    for _ in range(rng.choice((0, 1, 1, 1, 2, 3))):
        retries += call_until_done(rng, pool, depth)
        if retries > 1000:
            return retries
    return retries


def call_until_done(rng: random.Random, pool: RetryPool, depth: int) -> int:
    """Make one call and retry it while tokens remain; return the retries.

    Calls are answered, refused or lost at random.
    """
    retries = 0
    while True:
        delegated = pool.delegate()
        nested_pool = RetryPool(delegated)
        retries += run_tree(rng, nested_pool, depth + 1)
        unused = nested_pool.close()
        result_kind = rng.choice(('answered', 'refused', 'lost', 'twice'))
        if result_kind != 'lost':
            pool.return_unused(unused, delegated)
        if result_kind in {'answered', 'twice'} or retries > 1000:
            return retries
        if not pool.take():
            return retries
        retries += 1


class RetryPoolTest(unittest.TestCase):
    """Tokens are conserved, which bounds the retries of a call tree."""

    def test_retries_are_bounded_on_random_trees(self):
        """Retries must not exceed the tokens, despite fan-out and losses."""
        for seed in range(TREE_COUNT):
            rng = random.Random(seed)
            tokens = rng.randrange(8)
            retries = run_tree(rng, RetryPool(tokens), 0)
            with self.subTest(seed=seed):
                self.assertLessEqual(retries, tokens)

    def test_copied_tokens_are_detected(self):
        """The bound must be exceeded if tokens are copied instead of moved."""
        with (
            mock.patch.object(RetryPool, 'delegate', lambda pool: pool.tokens),
            self.assertRaises(AssertionError),
        ):
            max_retries = max(
                run_tree(random.Random(seed), RetryPool(3), 0)
                for seed in range(20)
            )
            self.assertLessEqual(max_retries, 3)

    def test_excess_returned_tokens_are_ignored(self):
        """A faulty answer must not increase the tokens of a request."""
        pool = RetryPool(4)
        delegated = pool.delegate()
        pool.return_unused(100, delegated)
        self.assertEqual(pool.tokens, 4)

    def test_closed_pool_has_no_tokens(self):
        """Tokens passed up with the answer must not be used again."""
        pool = RetryPool(4)
        self.assertEqual(pool.close(), 4)
        pool.return_unused(2, 2)
        self.assertEqual(
            (pool.close(), pool.take(), pool.delegate()), (0, False, 0)
        )


class RetryRatioTest(unittest.TestCase):
    """Retries of a service stay a share of its first attempts."""

    def test_budget_is_used_up_and_earned_again(self):
        """Retries beyond the ratio must be refused until they are earned."""
        ratio = RetryRatio()
        self.assertEqual(sum(ratio.take() for _ in range(50)), RATIO_BURST)
        for _ in range(20):
            ratio.record_first_attempt(0.1)
        self.assertEqual(sum(ratio.take() for _ in range(50)), 2)


class BackoffTest(unittest.TestCase):
    """The backoff doubles up to a maximum and is random."""

    def test_bounds(self):
        """Retries must not come at once or be delayed without bound."""
        rng = random.Random(1)
        for tries in range(1, 20):
            delay_ms = backoff_ms(10, tries, rng)
            self.assertGreaterEqual(delay_ms, 5)
            self.assertLessEqual(delay_ms, 640)
