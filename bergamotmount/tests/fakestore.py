"""Fake store of policy records and of the nodes' entries.

It can come back from an older copy: records and entries written since are
gone, and their offsets are given out again in the next era.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.policysource import PolicyError
from bergamotmount.forwarding.routetable import RoutePolicy
from bergamotmount.forwarding.store import (
    OffsetExpiredError,
    StoreEntries,
    StoreEra,
    StorePage,
)
from bergamotmount.member import Member
from bergamotmount.ports import LogError
from bergamotmount.reports import CrashReport

LATENCY_S = 0.004

#: Timeout of a request, in addition to the time that it asks to wait.
CALL_TIMEOUT_MS = 2500

#: Record of another key in the same stream as the policy.
OTHER_KEY = b'other'


def _now_s() -> float:
    return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """An acknowledged write: policy record, entry of a node, or crashes."""

    time_s: float
    record: bytes = b''
    node: str = ''
    member: Member | None = None
    settled_era: int = 0
    fingerprint: int = 0
    servers: tuple[str, ...] = ()


class FakeStore:
    """Policy records and node entries, as in the platform's store.

    All nodes lose access to the store while ``is_up`` is false.
    """

    def __init__(self) -> None:
        self.policy_by_record: dict[bytes, RoutePolicy] = {}
        self.is_up = True
        self.era = 1
        self.changed = asyncio.Event()
        self._writes: list[_Write] = []

    @property
    def records(self) -> list[bytes]:
        return [write.record for write in self._writes if write.record]

    @property
    def member_by_node(self) -> dict[str, Member]:
        newest = {
            write.node: write.member for write in self._writes if write.node
        }
        return {node: member for node, member in newest.items() if member}

    @property
    def servers_by_fingerprint(self) -> dict[int, tuple[str, ...]]:
        newest = {
            write.fingerprint: write.servers
            for write in self._writes
            if write.fingerprint
        }
        return {key: servers for key, servers in newest.items() if servers}

    def publish(self, published: RoutePolicy) -> None:
        """Write a policy as its operator."""
        record = f'version {published.version}'.encode()
        self.policy_by_record[record] = published
        self._add(_Write(_now_s(), record=record))

    def write_other_key(self) -> None:
        """Write a record of another key to the policy's stream."""
        self._add(_Write(_now_s(), record=OTHER_KEY))

    def write_crashes(self, fingerprint: int, *servers: str) -> None:
        """Write the crashes under a request, or remove them."""
        self._add(_Write(_now_s(), fingerprint=fingerprint, servers=servers))

    def write_member(
        self, node: str, member: Member | None, settled_era: int = 0
    ) -> None:
        """Write or remove the entry of a node."""
        self._add(
            _Write(_now_s(), node=node, member=member, settled_era=settled_era)
        )

    @property
    def settled_era(self) -> int:
        newest = {
            write.node: write.settled_era
            for write in self._writes
            if write.node
        }
        return max(newest.values(), default=0)

    def restore(self, copy_age_s: float) -> None:
        """Come back from a copy of some seconds ago."""
        copied_s = _now_s() - copy_age_s
        self._writes = [
            write for write in self._writes if write.time_s <= copied_s
        ]
        self.era += 1
        self._notify()

    def parse(self, record: bytes) -> RoutePolicy:
        """Return the policy in a record."""
        if record not in self.policy_by_record:
            raise PolicyError('unknown policy record')
        return self.policy_by_record[record]

    def _add(self, write: _Write) -> None:
        self._writes.append(write)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class FakeStoreView:
    """The store as seen from one node.

    A test can partition the node from it, lose the answers to its writes, or
    delay the writes after their answers are lost by ``late_s``. It can also
    silence the connections: each request has one of its own.
    """

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.era = StoreEra()
        self.is_partitioned = False
        self.loses_answers = False
        self.late_s = 0
        self.reads = 0
        #: Number of the next requests whose connections are silent.
        self.silent_requests = 0
        #: Time that each answer takes.
        self.latency_s = LATENCY_S
        self._silenced = asyncio.Event()

    def silence(self) -> None:
        """Silence the connections that are open now; new ones work."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def newest_policy(self) -> StorePage:
        return await self._answer(self._newest_policy())

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        return await self._answer(self._follow_policy(offset, wait_ms), wait_ms)

    async def publish_member(self, member: Member, settled_era: int) -> None:
        await self._answer(
            self._write(
                self.store.write_member, member.node, member, settled_era
            )
        )

    async def remove_member(self, node: str) -> None:
        await self._answer(self._write(self.store.write_member, node, None))

    async def publish_crashes(
        self, fingerprint: int, servers: list[str]
    ) -> None:
        await self._answer(
            self._write(self.store.write_crashes, fingerprint, *servers)
        )

    async def remove_crashes(self, fingerprint: int) -> None:
        await self._answer(self._write(self.store.write_crashes, fingerprint))

    async def entries(self) -> StoreEntries:
        return await self._answer(self._entries())

    async def _answer(self, request: Coroutine, wait_ms: float = 0):
        """Return the answer; there is none if the connection is silent."""
        timeout_s = (CALL_TIMEOUT_MS + wait_ms) / MS_PER_SECOND
        answering = asyncio.ensure_future(request)
        silenced = asyncio.ensure_future(self._silenced.wait())
        if self.silent_requests:
            self.silent_requests -= 1
            self.reads += 1
            answering.cancel()
        started_s = _now_s()
        try:
            await asyncio.wait(
                (answering, silenced), return_when=asyncio.FIRST_COMPLETED
            )
            if answering.done() and not answering.cancelled():
                return answering.result()
            answering.cancel()
            await asyncio.sleep(started_s + timeout_s - _now_s())
            raise LogError('no answer')
        finally:
            answering.cancel()
            silenced.cancel()

    async def _newest_policy(self) -> StorePage:
        await self._access()
        records = self.store.records
        policies = [record for record in records if record != OTHER_KEY]
        return StorePage(policies[-1:], len(records), self.store.era)

    async def _follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        await self._access()
        if offset > len(self.store.records):
            raise OffsetExpiredError(f'no offset {offset}')
        if offset == len(self.store.records):
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self.store.changed.wait()
            except TimeoutError:
                return StorePage([], offset, self.era.current)
            await self._access()
        records = self.store.records
        policies = [each for each in records[offset:] if each != OTHER_KEY]
        return StorePage(policies, len(records), self.store.era)

    async def _entries(self) -> StoreEntries:
        await self._access()
        return StoreEntries(
            list(self.store.member_by_node.values()),
            [
                CrashReport(fingerprint, server)
                for fingerprint, servers in (
                    self.store.servers_by_fingerprint.items()
                )
                for server in servers
            ],
            self.store.settled_era,
        )

    async def _write(self, write: Callable, *arguments: object) -> None:
        await self._access()
        if not self.loses_answers:
            write(*arguments)
            return
        asyncio.get_running_loop().call_later(self.late_s, write, *arguments)
        await asyncio.sleep(1)
        raise LogError('answer was lost')

    async def _access(self) -> None:
        self.reads += 1
        await asyncio.sleep(self.latency_s)
        if self.is_partitioned or not self.store.is_up:
            raise LogError('store is unreachable')
        self.era.observe(self.store.era)
