"""Tests of the memory account: whom it sheds, and what it counts."""

import unittest

from bergamotmount.clock import Clock
from bergamotmount.memoryaccount import (
    ORDINARY_BYTES,
    ORDINARY_SHARE,
    HoldingKind,
    MemoryAccount,
)
from bergamotmount.processlimits import (
    ACCOUNT_SHARE,
    FILE_FDS,
    MIN_CONNECTIONS,
    ProcessLimits,
)

LIMIT_BYTES = 10 * ORDINARY_BYTES
LARGE_BYTES = 4 * ORDINARY_BYTES


class FixedClock(Clock):
    """Clock that a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.set_ms: float = 0

    def now_ms(self) -> float:
        return getattr(self, 'set_ms', 0)


class AccountTestCase(unittest.TestCase):
    """An account with a limit, and the names of what it has shed."""

    def setUp(self):
        self.clock = FixedClock()
        self.account = MemoryAccount(self.clock, LIMIT_BYTES)
        self.shed: list[str] = []

    def hold(self, name: str, size_bytes: int, sheddable_bytes=None):
        """Return a new holding of this size, all of it sheddable."""
        holding = self.account.open(
            HoldingKind.CALLER, lambda: self.shed.append(name)
        )
        if sheddable_bytes is None:
            sheddable_bytes = size_bytes
        holding.update(size_bytes, sheddable_bytes)
        return holding


class ShedTest(AccountTestCase):
    """The one that holds most and moves least goes, not the next to come."""

    def test_within_limit(self):
        """Nothing is shed up to the limit."""
        self.hold('a', LIMIT_BYTES)
        self.assertEqual(self.shed, [])

    def test_most_bytes(self):
        """Of two that moved at the same time the larger goes."""
        self.hold('small', LARGE_BYTES)
        self.hold('large', LARGE_BYTES + 1)
        self.hold('new', LARGE_BYTES)
        self.assertEqual(self.shed, ['large'])

    def test_least_moved(self):
        """One that is stuck goes before a larger one that moves."""
        self.hold('stuck', LARGE_BYTES)
        moving = self.hold('moving', LARGE_BYTES)
        self.clock.set_ms = 5000
        moving.move()
        moving.update(2 * LARGE_BYTES, 2 * LARGE_BYTES)
        self.assertEqual(self.shed, ['stuck'])

    def test_ordinary_caller_is_spared(self):
        """A small one that makes the sum too large stays, the large goes."""
        self.hold('large', LIMIT_BYTES)
        self.hold('ordinary', ORDINARY_BYTES)
        self.assertEqual(self.shed, ['large'])

    def test_ordinary_callers_have_room_of_their_own(self):
        """What can't be shed holds the limit; ordinary ones still come in."""
        self.hold('waiting', LIMIT_BYTES, sheddable_bytes=0)
        self.assertFalse(self.account.admits(ORDINARY_BYTES + 1))
        self.assertTrue(self.account.admits(ORDINARY_BYTES))
        self.hold('ordinary', ORDINARY_BYTES)
        self.assertEqual(self.shed, [])

    def test_room_of_ordinary_callers_is_bounded(self):
        """Beyond it they go too."""
        self.hold('waiting', LIMIT_BYTES, sheddable_bytes=0)
        room_bytes = int(LIMIT_BYTES * ORDINARY_SHARE)
        for _ in range(room_bytes // ORDINARY_BYTES + 1):
            self.hold('ordinary', ORDINARY_BYTES)
        self.assertIn('ordinary', self.shed)

    def test_many(self):
        """The sum stays within the limit, whoever comes."""
        for number in range(100):
            self.hold(f'{number}', LARGE_BYTES)
            self.assertLessEqual(self.account.held_bytes, LIMIT_BYTES)


class SumTest(AccountTestCase):
    """A holding that ends or was shed must not count any more."""

    def test_close(self):
        """Its bytes are given back once."""
        holding = self.hold('a', LARGE_BYTES)
        holding.close()
        holding.close()
        holding.update(LARGE_BYTES, 0)
        self.assertEqual(self.account.held_bytes, 0)
        self.assertEqual(self.account.peak_bytes, LARGE_BYTES)

    def test_shed_bytes_count_once(self):
        """What a shed holding reports afterwards replaces what it had."""
        holding = self.hold('a', LIMIT_BYTES)
        self.hold('b', LARGE_BYTES, sheddable_bytes=0)
        self.assertEqual(self.account.held_bytes, LARGE_BYTES)
        holding.update(ORDINARY_BYTES, 0)
        self.assertEqual(self.account.held_bytes, LARGE_BYTES + ORDINARY_BYTES)
        holding.close()
        self.assertEqual(self.account.held_bytes, LARGE_BYTES)


class ProcessLimitsTest(unittest.TestCase):
    """Shares follow the settings, and fit into them."""

    def test_shares(self):
        """Callers leave room for links, the store, servers and operators."""
        limits = ProcessLimits(memory_mb=300, max_fds=4100)
        self.assertEqual(limits.account_bytes, int(300 * 2**20 * ACCOUNT_SHARE))
        connections = (
            limits.max_callers
            + limits.max_peers
            + 3 * limits.max_door_connections
        )
        self.assertLess(connections, (4100 - FILE_FDS) * 0.8)

    def test_few_descriptors(self):
        """Each sort of connection keeps a minimum."""
        limits = ProcessLimits(memory_mb=300, max_fds=100)
        self.assertEqual(limits.max_callers, MIN_CONNECTIONS)

    def test_limit_of_the_system(self):
        """It holds where it is lower than that of the settings."""
        limits = ProcessLimits(300, 10**9).within_system()
        self.assertLess(limits.max_fds, 10**9)
