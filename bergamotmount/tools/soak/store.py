"""Stand-in for the platform's store, as far as nodes use it."""

import asyncio
import base64
import dataclasses
import struct

from aiohttp import web

from bergamotmount.platform import names
from bergamotmount.tools.process import Closer, start_site

_LENGTH = struct.Struct('!I')
_OFFSETS = struct.Struct('!QQ')
_MS_PER_SECOND = 1000
_GONE = 410
_BUSY = 429
_UNAVAILABLE = 503


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store.

    ``status`` answers everything with an error, ``slow_s`` delays answers,
    ``loses_answers`` breaks the connection after the work was done.
    """

    status: int = 0
    slow_s: float = 0
    loses_answers: bool = False

    def clear(self) -> None:
        """Be sound again."""
        self.status = 0
        self.slow_s = 0
        self.loses_answers = False


@dataclasses.dataclass(slots=True)
class _Topic:
    """Records of a keyed topic; the newest of each key outlive the others."""

    first: int = 0
    records: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict,
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, key: str, found: bytes) -> None:
        self.newest_by_key.pop(key, None)
        if found:
            self.newest_by_key[key] = self.end, found
        self.records.append((key, found))
        self.changed.set()
        self.changed = asyncio.Event()


class StoreStandin:
    """Keyed topics in memory, served by HTTP."""

    def __init__(self) -> None:
        """Hold nothing."""
        self.faults = StoreFaults()
        self.calls = 0
        self._topic_by_name: dict[str, _Topic] = {}

    async def start(self, address: str) -> Closer:
        """Serve and return what ends it."""
        application = web.Application(middlewares=[self._disturb])
        application.router.add_get(names.LOG_NEWEST, self._newest)
        application.router.add_get(names.LOG_READ, self._read)
        application.router.add_post(names.LOG_APPEND, self._append)
        runner = web.AppRunner(
            application,
            access_log=None,
            shutdown_timeout=0.1,
        )
        return await start_site(runner, address)

    def publish(self, record: bytes) -> None:
        """Write a policy record as the operators do."""
        topic = self._topic(names.OPERATOR_TOPIC)
        topic.append(names.POLICY_KEY, record)

    def compact(self) -> None:
        """Forget the history of all topics; the newest of a key stays."""
        for topic in self._topic_by_name.values():
            topic.first = topic.end
            topic.records = []

    def _topic(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    @web.middleware
    async def _disturb(self, http: web.Request, handler) -> web.StreamResponse:
        self.calls += 1
        if self.faults.status:
            return web.Response(status=self.faults.status)
        await asyncio.sleep(self.faults.slow_s)
        response = await handler(http)
        if self.faults.loses_answers and http.transport is not None:
            http.transport.abort()
        return response

    async def _newest(self, http: web.Request) -> web.Response:
        topic = self._topic(http.query['topic'])
        after = http.query.get('after', '')
        found = [
            {
                'key': key,
                'value': base64.b64encode(record).decode(),
                'offset': offset,
            }
            for key, (offset, record) in sorted(topic.newest_by_key.items())
            if key > after
        ]
        return web.json_response(
            {'items': found, 'has_more': False, 'end_offset': topic.end},
        )

    async def _read(self, http: web.Request) -> web.Response:
        topic = self._topic(http.query['topic'])
        offset = int(http.query['from'])
        wait_s = int(http.query.get('wait_ms', 0)) / _MS_PER_SECOND
        if offset >= topic.end:
            changed = topic.changed
            await asyncio.wait(
                {asyncio.ensure_future(changed.wait())}, timeout=wait_s
            )
        if offset < topic.first:
            return web.json_response({'first': topic.first}, status=_GONE)
        packed = [_OFFSETS.pack(topic.end, topic.first)]
        for key, found in topic.records[offset - topic.first :]:
            record = _pack(key, found)
            packed.append(_LENGTH.pack(len(record)) + record)
        return web.Response(body=b''.join(packed))

    async def _append(self, http: web.Request) -> web.Response:
        topic = self._topic(http.query['topic'])
        packed = await http.read()
        record = packed[_LENGTH.size :]
        key_end = 1 + record[0]
        topic.append(record[1:key_end].decode(), record[key_end:])
        return web.json_response(
            {'offset': topic.end - 1, 'end_offset': topic.end},
        )


def _pack(key: str, found: bytes) -> bytes:
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + found
