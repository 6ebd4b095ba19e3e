"""Event loop under virtual time: it never waits, and is always the same."""

import asyncio
import selectors
import unittest
from collections.abc import Coroutine


class _InstantSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('all tasks wait for ever')
        self.now_s += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop whose time jumps to the next timer."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        return self._instant.now_s


def run_virtual(coroutine: Coroutine):
    """Run a coroutine under virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class VirtualTestCase(unittest.TestCase):
    """Test case whose ``async`` tests run under virtual time."""

    def _callTestMethod(self, method) -> None:
        outcome = method()
        if asyncio.iscoroutine(outcome):
            run_virtual(outcome)
