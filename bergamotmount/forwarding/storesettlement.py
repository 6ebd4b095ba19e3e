"""Settlement of the store: whether what it shows is all that was written.

A store that has come back from an older copy lacks what was written since,
until operators write it again. A process that was running then sees the era
rise. One that starts afterwards sees only the present era; the entries of nodes
tell it which era their writers took for settled. If none names the present one,
the store may have come back just now.
"""

import asyncio

from bergamotmount.clock import Clock

#: Time after the store came back from an older copy in which operators and
#: servers write again what was lost.
ERA_SETTLE_MS = 2000


class StoreSettlement:
    """Tells which era of the store is settled.

    ::

        settlement.observe(page.era)
        if settlement.is_settled(sent_ms):
            ...  # the page shows all that was written before
    """

    def __init__(self, clock: Clock, is_first_start: bool) -> None:
        """Start before the first answer of the store.

        At the first start of the whole deployment nothing can be lost.
        """
        self.settled_era = 0
        self._clock = clock
        self._is_first_start = is_first_start
        self._era: int | None = None
        self._seen_ms: float = 0
        self._changed = asyncio.Event()

    def observe(self, era: int) -> None:
        """Record the era of an answer."""
        if self._era is not None and era <= self._era:
            return
        if self._era is None and self._is_first_start:
            self.learn(era)
        self._era = era
        self._seen_ms = self._clock.now_ms()

    def learn(self, settled_era: int) -> None:
        """Record an era that is known to be settled."""
        if settled_era > self.settled_era:
            self.settled_era = settled_era
            self._changed.set()
            self._changed = asyncio.Event()

    def is_settled(self, asked_ms: float) -> bool:
        """Return whether an answer to what was asked then is of a settled era.

        Its era has been observed.
        """
        if self._era is None:
            return False
        if asked_ms - self._seen_ms >= ERA_SETTLE_MS:
            self.learn(self._era)
        return self._era <= self.settled_era

    async def wait_past(self, settled_era: int) -> None:
        """Wait until a later era than ``settled_era`` is settled."""
        while self.settled_era <= settled_era:
            await self._changed.wait()
