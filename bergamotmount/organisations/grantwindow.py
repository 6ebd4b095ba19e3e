"""Number of tokens granted within a sliding window."""

import collections

from bergamotmount.clock import Clock

#: Number of slices into which the window is divided. A slice counts until all
#: of it has left the window.
SLICES = 20


class GrantWindow:
    """Counts the tokens of one quota that were granted lately::

    window = GrantWindow(clock, window_ms=5000)
    window.record(3)
    window.count()    # 3, for five seconds
    """

    def __init__(self, clock: Clock, window_ms: float) -> None:
        """Start without grants."""
        self._clock = clock
        self._window_ms = window_ms
        self._slice_ms = window_ms / SLICES
        # Each slice holds its start and its number of tokens.
        self._slices: collections.deque[list[float]] = collections.deque()
        self._count = 0

    def record(self, tokens: int) -> None:
        """Count tokens as granted now."""
        now_ms = self._clock.now_ms()
        slices = self._slices
        if not slices or now_ms - slices[-1][0] >= self._slice_ms:
            slices.append([now_ms, 0])
        slices[-1][1] += tokens
        self._count += tokens

    def count(self) -> int:
        """Return the number of tokens granted within the window."""
        oldest_ms = self._clock.now_ms() - self._window_ms - self._slice_ms
        while self._slices and self._slices[0][0] < oldest_ms:
            self._count -= int(self._slices.popleft()[1])
        return self._count

    def release_ms(self) -> float:
        """Return the time until the oldest tokens leave the window."""
        if not self._slices:
            return 0
        leaves_ms = self._slices[0][0] + self._window_ms + self._slice_ms
        return max(leaves_ms - self._clock.now_ms(), 0)
