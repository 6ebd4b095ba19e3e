"""HTTP client of the platform's keyed store."""

import base64
import dataclasses
import struct
from urllib.parse import urlencode

import msgspec

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
from bergamotmount.jsoninput import JsonError, decode_json
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
from bergamotmount.ports import LogError
from bergamotmount.reports import CrashReport

#: Timeout of a request, in addition to the time that it asks to wait.
CALL_TIMEOUT_MS = 2500

_GONE = 410
_OK = 200
_LENGTH = struct.Struct('!I')
_OFFSETS = struct.Struct('!QQ')


class _KeyedRecord(msgspec.Struct):
    key: str
    offset: int
    encoded: str = msgspec.field(name='value')


class _NewestPage(msgspec.Struct):
    end_offset: int
    records: list[_KeyedRecord] = msgspec.field(name='items')
    has_more: bool = False
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of the store, and the era that it shows."""

    response: HttpResponse
    era: int


_log = part_logger('store')

_newest_decoder = msgspec.json.Decoder(_NewestPage)


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
        newest = await self._read_newest(names.OPERATOR_TOPIC, '')
        records = [
            _decode_value(record)
            for record in newest.records
            if record.key == names.POLICY_KEY
        ]
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
        after = ''
        has_more = True
        while has_more:
            newest = await self._read_newest(names.MEMBERS_TOPIC, after)
            for record in newest.records:
                try:
                    _add_entry(nodes, crashes, record)
                except (EntryError, LogError) as error:
                    _log.warning('Entry of {} skipped: {}.', record.key, error)
            has_more = newest.has_more and bool(newest.records)
            after = newest.records[-1].key if has_more else ''
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

    async def _read_newest(self, topic: str, after: str) -> _NewestPage:
        query: dict[str, object] = {'topic': topic, 'part': 0}
        if after:
            query['after'] = after
        answer = await self._request('GET', names.LOG_NEWEST_PATH, query)
        _check_status(answer.response, names.LOG_NEWEST_PATH)
        try:
            newest = decode_json(_newest_decoder.decode, answer.response.body)
        except JsonError as error:
            raise LogError(f'{names.LOG_NEWEST_PATH}: {error}') from error
        newest.era = answer.era
        return newest

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
        connection = await self._pool.acquire(is_fresh=True)
        try:
            return await connection.exchange(request, lambda _: True)
        finally:
            self._pool.release(connection)


def _check_status(response: HttpResponse, path: str) -> None:
    if response.status != _OK:
        raise LogError(f'{path}: status {response.status}')


def _add_entry(
    nodes: list[NodeEntry], crashes: list[CrashReport], record: _KeyedRecord
) -> None:
    packed = _decode_value(record)
    if is_crashes_key(record.key):
        crashes.extend(parse_crashes(record.key, packed))
    else:
        nodes.append(parse_member(record.key, packed))


def _decode_value(record: _KeyedRecord) -> bytes:
    try:
        return base64.b64decode(record.encoded, validate=True)
    except ValueError as error:
        raise LogError(f'record of {record.key}: {error}') from error


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
