"""Fake of the log service, with the faults of the real one."""

import asyncio

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.ports import LogError, LogPage, LogRecord

LOG_POLL_MS = 200

#: Timeout of a read, in addition to the time that it asks to wait.
READ_TIMEOUT_S = 3


class FakeLog:
    """Append-only log in memory.

    The log fails while ``is_down`` is set. ``answers_to_lose`` is the number
    of further appends that are stored but answered with an error.
    """

    def __init__(self) -> None:
        self.bodies_by_stream: dict[str, list[bytes]] = {}
        self.first_kept_by_stream: dict[str, int] = {}
        self.is_down = False
        self.extra_latency_ms: float = 0
        self.answers_to_lose = 0
        self.read_count = 0
        self.append_count = 0

    async def append(self, stream: str, body: bytes) -> int:
        await asyncio.sleep((2 + self.extra_latency_ms) / MS_PER_SECOND)
        if self.is_down:
            raise LogError('log is down')
        bodies = self.bodies_by_stream.setdefault(stream, [])
        bodies.append(body)
        self.append_count += 1
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise LogError('answer to the append was lost')
        return len(bodies) - 1

    async def read(self, stream: str, from_offset: int, wait_ms) -> LogPage:
        self.read_count += 1
        waited_ms = 0
        await asyncio.sleep((2 + self.extra_latency_ms) / MS_PER_SECOND)
        while not self.is_down:
            page = self._page(stream, from_offset)
            if page.records or waited_ms >= wait_ms:
                return page
            await asyncio.sleep(LOG_POLL_MS / MS_PER_SECOND)
            waited_ms += LOG_POLL_MS
        raise LogError('log is down')

    def truncate_before(self, stream: str, offset: int) -> None:
        self.first_kept_by_stream[stream] = offset

    def _page(self, stream: str, from_offset: int) -> LogPage:
        bodies = self.bodies_by_stream.get(stream, [])
        first_kept = self.first_kept_by_stream.get(stream, 0)
        start = max(from_offset, first_kept)
        records = [
            LogRecord(offset, bodies[offset])
            for offset in range(start, len(bodies))
        ]
        return LogPage(first_kept, max(start, len(bodies)), records)


class FakeLogView:
    """The log as seen from one node.

    A test can partition the node from it, and silence the connections that
    are open; new ones work.
    """

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.is_partitioned = False
        self._silenced = asyncio.Event()

    def silence(self) -> None:
        """Silence the connections that are open now."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def append(self, stream: str, body: bytes) -> int:
        self._check_reachable()
        return await self._log.append(stream, body)

    async def read(self, stream: str, from_offset: int, wait_ms) -> LogPage:
        self._check_reachable()
        silenced = self._silenced
        page = await self._log.read(stream, from_offset, wait_ms)
        if silenced.is_set():
            await asyncio.sleep(READ_TIMEOUT_S)
            raise LogError('no answer')
        self._check_reachable()
        return page

    def _check_reachable(self) -> None:
        if self.is_partitioned:
            raise LogError('log is cut off from this node')
