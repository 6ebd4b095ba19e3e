"""Stand-in of the platform's store: keyed topics, newest, read, append."""

import asyncio
import base64
import collections
import json
import struct
from urllib.parse import parse_qs, urlsplit

from bergamotmount.clock import MS_PER_SECOND, Clock
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    HttpLimits,
    HttpReply,
    RemoteAddress,
)
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.platform import names

_OK = 200
_NOT_FOUND = 404
_ANSWER_S = 0.004
_LENGTH_BYTES = 4


class StandinStore:
    """Keeps all records of each topic, in one partition."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._records: dict[str, list[bytes]] = collections.defaultdict(list)
        self._changed = asyncio.Event()
        self._server = HttpServer(clock, self._handle, HttpLimits(), print)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        await self._server.start(address)

    def publish(self, record: dict) -> None:
        """Write the operators' policy record."""
        encoded = json.dumps(record).encode()
        self.write(names.OPERATOR_TOPIC, names.POLICY_KEY, encoded)

    def write(self, topic: str, key: str, encoded: bytes) -> None:
        """Write any record, as another writer may."""
        packed = key.encode()
        self._append(topic, bytes((len(packed),)) + packed + encoded)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _handle(self, request: HttpRequest, _: RemoteAddress):
        await asyncio.sleep(_ANSWER_S)
        fields = parse_qs(urlsplit(request.target).query)
        query = {name: texts[0] for name, texts in fields.items()}
        match request.path:
            case names.LOG_APPEND_PATH:
                return self._answer_append(query['topic'], request.body)
            case names.LOG_NEWEST_PATH:
                return self._answer_newest(query['topic'])
            case names.LOG_READ_PATH:
                return await self._answer_read(query)
        return HttpReply(_NOT_FOUND)

    def _append(self, topic: str, packed: bytes) -> None:
        self._records[topic].append(packed)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer_append(self, topic: str, body: bytes) -> HttpReply:
        first = len(self._records[topic])
        while body:
            end = _LENGTH_BYTES + int.from_bytes(body[:_LENGTH_BYTES], 'big')
            self._append(topic, body[_LENGTH_BYTES:end])
            body = body[end:]
        end_offset = len(self._records[topic])
        return _json_reply({'offset': first, 'end_offset': end_offset})

    def _answer_newest(self, topic: str) -> HttpReply:
        records = self._records[topic]
        newest: dict[str, dict[str, object]] = {}
        for offset, packed in enumerate(records):
            key, encoded = _split_key(packed)
            newest.pop(key, None)
            if encoded:
                text = base64.b64encode(encoded).decode()
                newest[key] = {'key': key, 'value': text, 'offset': offset}
        return _json_reply(
            {
                'items': [newest[key] for key in sorted(newest)],
                'has_more': False,
                'end_offset': len(records),
            }
        )

    async def _answer_read(self, query: dict[str, str]) -> HttpReply:
        start = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / MS_PER_SECOND
        records = self._records[query['topic']]
        try:
            async with asyncio.timeout(wait_s):
                while len(records) <= start:
                    await self._changed.wait()
        except TimeoutError:
            start = len(records)
        parts = [struct.pack('!QQ', len(records), 0)]
        for packed in records[start:]:
            parts.extend((struct.pack('!I', len(packed)), packed))
        return HttpReply(_OK, [], b''.join(parts))


def _split_key(packed: bytes) -> tuple[str, bytes]:
    end = 1 + packed[0]
    return packed[1:end].decode(), packed[end:]


def _json_reply(answer: dict) -> HttpReply:
    headers = ['Content-Type', 'application/json']
    return HttpReply(_OK, headers, json.dumps(answer).encode())
