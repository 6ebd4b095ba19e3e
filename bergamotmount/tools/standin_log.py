"""Stub of the platform's append-only log, for tests and the demo.

``POST /control`` with a JSON object injects faults: with ``down`` every
request is answered with 503, ``slow_ms`` delays each request, ``lose_answers``
is the number of appends that are stored while their connection is closed
before the answer, and ``keep`` is the maximum number of records in a stream.
"""

import argparse
import asyncio
import base64
import dataclasses
from collections import defaultdict

from aiohttp import web

from bergamotmount.tools.process import Closer, run_until_signal, start_site

#: Maximum number of records in one answer.
MAX_PAGE_RECORDS = 500

#: Maximum time that a read waits for a record, in milliseconds.
MAX_WAIT_MS = 30_000

_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class InjectedFaults:
    """Injected faults; the defaults inject none."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    keep: int = 1_000_000


class _Stream:
    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[bytes] = []
        self.changed = asyncio.Event()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def append(self, body: bytes, max_records: int) -> int:
        self.records.append(body)
        excess = max(len(self.records) - max_records, 0)
        self.records = self.records[excess:]
        self.first_offset += excess
        self.changed.set()
        self.changed = asyncio.Event()
        return self.next_offset - 1


class StubLog:
    """Append-only streams in memory, served over HTTP."""

    def __init__(self) -> None:
        """Start without streams and without injected faults."""
        self.faults = InjectedFaults()
        self._stream_by_name: dict[str, _Stream] = defaultdict(_Stream)

    def make_application(self) -> web.Application:
        """Return the HTTP application that serves the streams."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post('/streams/{name}', self.append),
                web.get('/streams/{name}', self.read),
                web.post('/control', self.control),
            ]
        )
        return application

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as one record."""
        await self._apply_faults()
        stream = self._stream_by_name[request.match_info['name']]
        offset = stream.append(await request.read(), self.faults.keep)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.close()
        return web.json_response({'offset': offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset on; wait if there are none yet."""
        await self._apply_faults()
        stream = self._stream_by_name[request.match_info['name']]
        start = int(request.query.get('from', '0'))
        wait_ms = min(int(request.query.get('wait_ms', '0')), MAX_WAIT_MS)
        if start >= stream.next_offset and wait_ms:
            await _wait_for_change(stream.changed, wait_ms)
        await self._apply_faults()
        start = max(start, stream.first_offset)
        skipped = start - stream.first_offset
        page = stream.records[skipped : skipped + MAX_PAGE_RECORDS]
        records = [
            {'offset': offset, 'body': base64.b64encode(body).decode()}
            for offset, body in enumerate(page, start)
        ]
        return web.json_response(
            {
                'first_kept': stream.first_offset,
                'next_offset': start + len(records),
                'records': records,
            }
        )

    async def control(self, request: web.Request) -> web.Response:
        """Set the injected faults that the JSON body names."""
        for name, setting in (await request.json()).items():
            setattr(self.faults, name, setting)
        return web.json_response(dataclasses.asdict(self.faults))

    async def _apply_faults(self) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / _MS_PER_SECOND)
        if self.faults.down:
            raise web.HTTPServiceUnavailable


async def _wait_for_change(changed: asyncio.Event, wait_ms: int) -> None:
    try:
        async with asyncio.timeout(wait_ms / _MS_PER_SECOND):
            await changed.wait()
    except TimeoutError:
        return


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--listen', default='127.0.0.1:7400')
    arguments = parser.parse_args()

    async def serve() -> list[Closer]:
        application = StubLog().make_application()
        runner = web.AppRunner(application, shutdown_timeout=0)
        return [await start_site(runner, arguments.listen)]

    run_until_signal(serve)


if __name__ == '__main__':
    main()
