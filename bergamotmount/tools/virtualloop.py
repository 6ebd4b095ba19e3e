"""Event loop under virtual time: it never waits, and is always the same."""

import asyncio
import selectors
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
        """Start at zero."""
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._instant.now_s


def run_virtual(coroutine: Coroutine):
    """Run a coroutine under virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
