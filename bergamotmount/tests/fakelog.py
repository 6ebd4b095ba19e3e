"""Fake of the platform's log, with the faults of the real one."""

import asyncio

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.ports import LogError, LogPage, LogRecord

LOG_POLL_MS = 200


class FakeLog:
    """Append-only log with the faults of the platform's."""

    def __init__(self) -> None:
        self.bodies_by_stream: dict[str, list[bytes]] = {}
        self.first_kept: dict[str, int] = {}
        self.is_down = False
        self.slow_ms: float = 0
        self.lose_answers = 0
        self.reads = 0
        self.appends = 0

    async def append(self, stream: str, body: bytes) -> int:
        await asyncio.sleep((2 + self.slow_ms) / MS_PER_SECOND)
        if self.is_down:
            raise LogError('down')
        bodies = self.bodies_by_stream.setdefault(stream, [])
        bodies.append(body)
        self.appends += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogError('answer lost')
        return len(bodies) - 1

    async def read(self, stream: str, from_offset: int, wait_ms) -> LogPage:
        self.reads += 1
        waited_ms = 0
        await asyncio.sleep((2 + self.slow_ms) / MS_PER_SECOND)
        while not self.is_down:
            page = self._page(stream, from_offset)
            if page.records or waited_ms >= wait_ms:
                return page
            await asyncio.sleep(LOG_POLL_MS / MS_PER_SECOND)
            waited_ms += LOG_POLL_MS
        raise LogError('down')

    def forget_before(self, stream: str, offset: int) -> None:
        self.first_kept[stream] = offset

    def _page(self, stream: str, from_offset: int) -> LogPage:
        bodies = self.bodies_by_stream.get(stream, [])
        first = self.first_kept.get(stream, 0)
        start = max(from_offset, first)
        records = [
            LogRecord(offset, bodies[offset])
            for offset in range(start, len(bodies))
        ]
        return LogPage(first, max(start, len(bodies)), records)


class FakeLogView:
    """The log as one node reaches it, which a test can cut off."""

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.is_cut = False

    async def append(self, stream: str, body: bytes) -> int:
        self._check()
        return await self._log.append(stream, body)

    async def read(self, stream: str, from_offset: int, wait_ms) -> LogPage:
        self._check()
        page = await self._log.read(stream, from_offset, wait_ms)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut:
            raise LogError('cut off')
