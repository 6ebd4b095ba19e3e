"""Account of the memory that a process holds for others.

Whatever keeps bytes for somebody else opens a holding and keeps its size up to
date: a head or body that is being received, a request that waits, an answer
that isn't read, a message between nodes. Sizes are bytes of memory, which can
be many times those on the wire. While the sum is over the limit, the account
sheds: it tells the holding that keeps most and moves least to give up what it
can. A caller of ordinary size comes last::

    account = MemoryAccount(clock, limit_bytes=120_000_000)
    holding = account.open(HoldingKind.CALLER, shed=connection.give_up)
    holding.update(size_bytes=4_000_000, sheddable_bytes=4_000_000)
    ...
    holding.close()
"""

import enum
import math
from collections.abc import Callable

from bergamotmount.clock import Clock

#: Size up to which a holding is ordinary: it is spared until the sum is over
#: the limit by ``ORDINARY_SHARE``.
ORDINARY_BYTES = 64 * 1024

#: Room beyond the limit that ordinary holdings may use, as a share of it.
ORDINARY_SHARE = 1 / 8

#: Idle time that is added to each holding's own, so that one that has just
#: moved is judged by its size.
MIN_IDLE_MS = 100

#: Memory of an object, with what refers to it: a header line as a tuple and
#: two strings, a request with its task, a connection with its parser.
HEADER_BYTES = 256
REQUEST_BYTES = 4096
CONNECTION_BYTES = 8192


class HoldingKind(enum.StrEnum):
    """For whom memory is held."""

    CALLER = 'caller'
    SERVER = 'server'
    PEER = 'peer'
    OPERATOR = 'operator'


class Holding:
    """Memory that one connection or one part holds.

    ``size_bytes`` is all of it, ``sheddable_bytes`` what is free at once when
    it is shed. Both stay 0 after :meth:`close`.
    """

    __slots__ = (
        'kind',
        'moved_ms',
        'shed',
        'sheddable_bytes',
        'size_bytes',
        '_account',
    )

    def __init__(
        self,
        account: 'MemoryAccount',
        kind: HoldingKind,
        shed: Callable[[], None],
    ) -> None:
        """Hold nothing yet."""
        self.kind = kind
        self.shed = shed
        self.size_bytes = 0
        self.sheddable_bytes = 0
        self.moved_ms: float = 0
        self._account = account

    def update(self, size_bytes: int, sheddable_bytes: int = 0) -> None:
        """Set the size; this or another holding may be shed thereby."""
        self._account.update(self, size_bytes, sheddable_bytes)

    def move(self) -> None:
        """Record that bytes have been received or sent."""
        self.moved_ms = self._account.now_ms()

    def close(self) -> None:
        """Hold nothing any more."""
        self._account.close(self)


class MemoryAccount:
    """Sums up the holdings of a process, and sheds above the limit."""

    def __init__(self, clock: Clock, limit_bytes: float = math.inf) -> None:
        """Hold nothing; without a limit nothing is ever shed."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.sheds = 0
        #: Number of requests refused for lack of memory.
        self.refusals = 0
        #: Called with each holding, and what it held, before it is shed.
        self.on_shed: Callable[[Holding], None] = _ignore_shed
        self._clock = clock
        self._holdings: set[Holding] = set()

    def now_ms(self) -> float:
        """Return the time by which movement is judged."""
        return self._clock.now_ms()

    def open(self, kind: HoldingKind, shed: Callable[[], None]) -> Holding:
        """Return a new holding; ``shed`` is called to free its memory."""
        holding = Holding(self, kind, shed)
        holding.move()
        self._holdings.add(holding)
        return holding

    def admits(self, size_bytes: int) -> bool:
        """Return whether this much more may be held without shedding."""
        limit_bytes = self.limit_bytes
        if size_bytes <= ORDINARY_BYTES:
            limit_bytes *= 1 + ORDINARY_SHARE
        return self.held_bytes + size_bytes <= limit_bytes

    def update(
        self, holding: Holding, size_bytes: int, sheddable_bytes: int
    ) -> None:
        """Set the size of a holding; see :meth:`Holding.update`."""
        if holding not in self._holdings:
            return
        self.held_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        holding.sheddable_bytes = sheddable_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if self.held_bytes > self.limit_bytes:
            self._shed_excess()

    def close(self, holding: Holding) -> None:
        """Remove a holding; see :meth:`Holding.close`."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.held_bytes -= holding.size_bytes
            holding.size_bytes = 0
            holding.sheddable_bytes = 0

    def _shed_excess(self) -> None:
        while self.held_bytes > self.limit_bytes:
            victim = self._choose()
            if victim is None:
                return
            self.sheds += 1
            self.on_shed(victim)
            freed_bytes = victim.sheddable_bytes
            # What shed() itself reports must not count a second time.
            self.held_bytes -= freed_bytes
            victim.size_bytes -= freed_bytes
            victim.sheddable_bytes = 0
            victim.shed()

    def _choose(self) -> Holding | None:
        """Return the holding to shed, ``None`` if none may be."""
        is_far_over = self.held_bytes > self.limit_bytes * (1 + ORDINARY_SHARE)
        min_bytes = 1 if is_far_over else ORDINARY_BYTES + 1
        candidates = [
            each for each in self._holdings if each.sheddable_bytes >= min_bytes
        ]
        if not candidates:
            return None
        now_ms = self.now_ms()
        return max(
            candidates,
            key=lambda each: (
                each.sheddable_bytes * (now_ms - each.moved_ms + MIN_IDLE_MS)
            ),
        )


def _ignore_shed(_holding: Holding) -> None:
    """Ignore that a holding is shed."""


def headers_memory(count: int, text_bytes: int) -> int:
    """Return the memory of parsed header lines with this much text."""
    return count * HEADER_BYTES + text_bytes
