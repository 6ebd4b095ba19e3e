"""Stand-in of the platform's store: keyed topics, newest, read, append."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Message, listen, pack_response

_ANSWER_S = 0.004


class Store:
    """Keeps all records of each topic; partition 0 only."""

    def __init__(self, record) -> None:
        self._record = record
        self._records_by_topic: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        self.server = await listen(self._handle, host, port)

    def write(self, topic: str, key: str, value: bytes) -> None:
        self._append(topic, bytes((len(key),)) + key.encode() + value)

    def publish(self, manifest: dict) -> None:
        self.write('keyed.op', 'config', json.dumps(manifest).encode())
        self._record.note('operator', 'manifest', version=manifest['version'])

    def _append(self, topic: str, packed: bytes) -> int:
        records = self._records_by_topic.setdefault(topic, [])
        records.append(packed)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _handle(self, connection, request: Message) -> None:
        await asyncio.sleep(_ANSWER_S)
        url = urlsplit(request.target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        match url.path.rsplit('/', 1)[-1]:
            case 'log-append':
                answer = self._answer_append(query['topic'], request.body)
            case 'log-newest':
                answer = self._answer_newest(query['topic'])
            case 'log-read':
                answer = await self._answer_read(query)
            case _:
                answer = pack_response(404, {})
        connection.send(answer)

    def _answer_append(self, topic: str, body: bytes) -> bytes:
        first = len(self._records_by_topic.get(topic, []))
        while body:
            size = int.from_bytes(body[:4], 'big')
            self._append(topic, body[4 : 4 + size])
            body = body[4 + size :]
        end = len(self._records_by_topic.get(topic, []))
        return _json({'offset': first, 'end_offset': end})

    def _answer_newest(self, topic: str) -> bytes:
        newest = {}
        for offset, packed in enumerate(self._records_by_topic.get(topic, [])):
            key = packed[1 : 1 + packed[0]].decode()
            value = packed[1 + packed[0] :]
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in sorted(newest.items())
        ]
        end = len(self._records_by_topic.get(topic, []))
        return _json({'items': items, 'has_more': False, 'end_offset': end})

    async def _answer_read(self, query: dict[str, str]) -> bytes:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        records = self._records_by_topic.setdefault(query['topic'], [])
        try:
            async with asyncio.timeout(wait_s):
                while len(records) <= start:
                    await self._changed.wait()
        except TimeoutError:
            pass
        body = struct.pack('!QQ', len(records), 0)
        for packed in records[start:]:
            body += struct.pack('!I', len(packed)) + packed
        return pack_response(200, {}, body)


def _json(content: dict) -> bytes:
    body = json.dumps(content).encode()
    return pack_response(200, {'Content-Type': 'application/json'}, body)
