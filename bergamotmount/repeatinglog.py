"""Log service whose reads don't wait on one connection only."""

import functools

from bergamotmount.clock import Clock
from bergamotmount.ports import LogPage, LogService
from bergamotmount.repeater import Repeater

#: Silence of the log service after which a read is sent again. With the wait of
#: a poll, two silent reads still leave time to have a record in force in three
#: seconds.
SILENCE_MS = 450


class RepeatingLog:
    """Implementation of ``LogService`` that repeats unanswered reads.

    An append isn't repeated: its caller looks for the record first.
    """

    def __init__(self, clock: Clock, log: LogService) -> None:
        """Read from ``log``; each of its reads uses its own connection."""
        self._log = log
        self._repeater = Repeater(clock, SILENCE_MS)

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset."""
        return await self._log.append(stream, body)

    async def read(
        self, stream: str, from_offset: int, wait_ms: float
    ) -> LogPage:
        """Return records from an offset on; wait for one if there is none."""
        from_here = functools.partial(self._log.read, stream, from_offset)
        read = functools.partial(from_here, 0)
        if not wait_ms:
            return await self._repeater.ask(read)
        poll = functools.partial(from_here, wait_ms)
        return await self._repeater.ask_waiting(poll, read, wait_ms)
