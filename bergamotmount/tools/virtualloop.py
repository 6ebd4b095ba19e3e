"""Deterministic event loop with virtual time, which never blocks."""

import asyncio
import selectors
from collections.abc import Coroutine


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now_s += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_virtual(coroutine: Coroutine):
    """Run a coroutine under virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
