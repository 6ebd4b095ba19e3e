"""HTTP client of the platform's keyed store."""

import dataclasses
import struct
from urllib.parse import urlencode

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import (
    HttpResponse,
    header_of,
    pack_request,
)
from bergamotmount.forwarding.httpclient import (
    ConnectionPool,
    NotConnectedError,
)
from bergamotmount.forwarding.serverconnection import (
    BrokenExchangeError,
)
from bergamotmount.forwarding.store import (
    OffsetExpiredError,
    StoreEntries,
    StoreEra,
    StorePage,
)
from bergamotmount.jsoninput import JsonError
from bergamotmount.log import part_logger
from bergamotmount.member import Member
from bergamotmount.platform import names
from bergamotmount.platform.crashrecord import (
    crashes_key,
    is_crashes_key,
    pack_servers,
    parse_crashes,
)
from bergamotmount.platform.memberrecord import (
    EntryError,
    NodeEntry,
    pack_member,
    parse_member,
)
from bergamotmount.platform.newestpage import NewestPage, parse_newest_page
from bergamotmount.ports import LogError
from bergamotmount.reports import CrashReport

#: Timeout of a request, in addition to the time that it asks to wait.
CALL_TIMEOUT_MS = 2500

_GONE = 410
_OK = 200
_LENGTH = struct.Struct('!I')
_OFFSETS = struct.Struct('!QQ')


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of the store, and the era that it shows."""

    response: HttpResponse
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """Newest records of all keys.

    Offset and era are those of the first page: what was written while the
    others were read comes after them.
    """

    record_by_key: dict[str, bytes]
    end_offset: int
    era: int


_log = part_logger('store')


class PlatformStore:
    """Implementation of ``KeyedStore`` by the platform's HTTP interface."""

    def __init__(self, clock: Clock, address: str) -> None:
        """Create a client of the store at ``ip:port``."""
        self.era = StoreEra()
        self._clock = clock
        self._address = address
        self._pool = ConnectionPool(clock, address)

    async def newest_policy(self) -> StorePage:
        """Return the newest policy record, if there is one."""
        newest = await self._read_newest(names.OPERATOR_TOPIC)
        record = newest.record_by_key.get(names.POLICY_KEY)
        records = [] if record is None else [record]
        return StorePage(records, newest.end_offset, newest.era)

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Return the policy records from an offset on.

        Raise :class:`OffsetExpiredError` when the offset is no longer retained.
        """
        query = {
            'topic': names.OPERATOR_TOPIC,
            'part': 0,
            'from': offset,
            'wait_ms': int(wait_ms),
        }
        answer = await self._request('GET', names.LOG_READ_PATH, query, wait_ms)
        response = answer.response
        if response.status == _GONE:
            raise OffsetExpiredError(f'offset {offset} is gone')
        _check_status(response, names.LOG_READ_PATH)
        return _parse_policy_page(response.body, offset, answer.era)

    async def publish_member(self, member: Member, settled_era: int) -> None:
        """Publish where a node is found, and the era it takes for settled."""
        packed = pack_member(member, settled_era)
        await self._append_entry(member.node, packed)

    async def remove_member(self, node: str) -> None:
        """Remove the entry of a node."""
        await self._append_entry(node, b'')

    async def publish_crashes(
        self, fingerprint: int, servers: list[str]
    ) -> None:
        """Publish the servers that crashed under a quarantined request."""
        await self._append_entry(
            crashes_key(fingerprint), pack_servers(servers)
        )

    async def remove_crashes(self, fingerprint: int) -> None:
        """Remove the crashes under a request."""
        await self._append_entry(crashes_key(fingerprint), b'')

    async def entries(self) -> StoreEntries:
        """Return what nodes have published; skip what can't be read."""
        nodes: list[NodeEntry] = []
        crashes: list[CrashReport] = []
        newest = await self._read_newest(names.MEMBERS_TOPIC)
        for key, packed in newest.record_by_key.items():
            try:
                if is_crashes_key(key):
                    crashes.extend(parse_crashes(key, packed))
                else:
                    # The era may have risen while the pages were read.
                    era = self.era.current
                    nodes.append(parse_member(key, packed, era))
            except EntryError as error:
                _log.warning('Entry of {!r} skipped: {}.', key, error)
        return StoreEntries(
            [node.member for node in nodes],
            crashes,
            max((node.settled_era for node in nodes), default=0),
        )

    async def _append_entry(self, key: str, packed: bytes) -> None:
        record = _key_prefix(key) + packed
        answer = await self._request(
            'POST',
            names.LOG_APPEND_PATH,
            {'topic': names.MEMBERS_TOPIC, 'part': 0},
            body=_LENGTH.pack(len(record)) + record,
        )
        _check_status(answer.response, names.LOG_APPEND_PATH)

    async def _read_newest(self, topic: str) -> _Newest:
        """Return the newest records of a topic, read page by page."""
        page, era = await self._read_newest_page(topic, '')
        newest = _Newest(dict(page.record_by_key), page.end_offset, era)
        keys_asked_for: set[str] = set()
        while page.next_key and page.next_key not in keys_asked_for:
            keys_asked_for.add(page.next_key)
            page, _ = await self._read_newest_page(topic, page.next_key)
            newest.record_by_key.update(page.record_by_key)
        if page.next_key:
            _log.warning('Records after {!r} not read.', page.next_key)
        return newest

    async def _read_newest_page(
        self, topic: str, after: str
    ) -> tuple[NewestPage, int]:
        query: dict[str, object] = {'topic': topic, 'part': 0}
        if after:
            query['after'] = after
        answer = await self._request('GET', names.LOG_NEWEST_PATH, query)
        _check_status(answer.response, names.LOG_NEWEST_PATH)
        try:
            return parse_newest_page(answer.response.body), answer.era
        except JsonError as error:
            raise LogError(f'{names.LOG_NEWEST_PATH}: {error}') from error

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        wait_ms: float = 0,
        body: bytes = b'',
    ) -> _Answer:
        """Return the answer to a request."""
        request = pack_request(
            method,
            f'{path}?{urlencode(query)}',
            ['Host', self._address],
            body,
        )
        try:
            async with self._clock.timeout(CALL_TIMEOUT_MS + wait_ms):
                response = await self._exchange(request)
        except (BrokenExchangeError, NotConnectedError, TimeoutError) as error:
            raise LogError(f'{path}: {error!r}') from error
        return _Answer(response, self._observe_era(response, path))

    def _observe_era(self, response: HttpResponse, path: str) -> int:
        """Record the era of a response; without one it isn't judged."""
        text = header_of(response.headers, names.STORE_ERA_HEADER)
        if text is None:
            return self.era.current
        if not text.isdecimal():
            raise LogError(f'{path}: era {text!r} is not a number')
        era = int(text)
        self.era.observe(era)
        return era

    async def _exchange(self, request: bytes) -> HttpResponse:
        """Return the response on a connection of its own.

        One that was kept may have gone silent since.
        """
        connection = await self._pool.acquire()
        try:
            return await connection.exchange(request, lambda _: True)
        finally:
            connection.close()
            self._pool.release(connection)


def _check_status(response: HttpResponse, path: str) -> None:
    if response.status != _OK:
        raise LogError(f'{path}: status {response.status}')


def _parse_policy_page(page: bytes, offset: int, era: int) -> StorePage:
    try:
        end_offset, _ = _OFFSETS.unpack_from(page)
        records = _split_records(page[_OFFSETS.size :])
    except (struct.error, IndexError) as error:
        raise LogError(f'{names.LOG_READ_PATH}: {error}') from error
    prefix = _key_prefix(names.POLICY_KEY)
    policies = [
        record.removeprefix(prefix)
        for record in records
        if record.startswith(prefix)
    ]
    next_offset = min(offset + len(records), end_offset)
    policies = [policy for policy in policies if policy]
    return StorePage(policies, next_offset, era, next_offset == end_offset)


def _key_prefix(key: str) -> bytes:
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded


def _split_records(packed: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(packed):
        start = position + _LENGTH.size
        length = int.from_bytes(packed[position:start])
        position = start + length
        if position > len(packed):
            raise IndexError('last record is truncated')
        records.append(packed[start:position])
    return records
