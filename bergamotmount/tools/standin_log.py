"""Stand-in for the platform's append-only log, for tests and the demo.

Faults are switched by ``POST /control`` with a JSON object: ``down`` answers
every request with 503, ``slow_ms`` delays it, ``lose_answers`` takes that many
appends but breaks their connections, ``keep`` limits the records of a stream.
"""

import argparse
import asyncio
import base64
import dataclasses
from collections import defaultdict

from aiohttp import web

from bergamotmount.tools.process import Closer, run_until_signal, start_site

#: Most records in one answer.
PAGE_RECORDS = 500

#: Longest wait for a record, in milliseconds.
MAX_WAIT_MS = 30_000

_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Switches:
    """Faults that are switched on."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    keep: int = 1_000_000


class _Stream:
    def __init__(self) -> None:
        self.first_kept = 0
        self.bodies: list[bytes] = []
        self.changed = asyncio.Event()

    @property
    def next_offset(self) -> int:
        return self.first_kept + len(self.bodies)

    def append(self, body: bytes, keep: int) -> int:
        self.bodies.append(body)
        excess = max(len(self.bodies) - keep, 0)
        self.bodies = self.bodies[excess:]
        self.first_kept += excess
        self.changed.set()
        self.changed = asyncio.Event()
        return self.next_offset - 1


class LogStandin:
    """Append-only streams in memory, served by HTTP."""

    def __init__(self) -> None:
        """Start with no streams and no faults."""
        self.switches = Switches()
        self._stream_by_name: dict[str, _Stream] = defaultdict(_Stream)

    def make_application(self) -> web.Application:
        """Return the HTTP application of the service."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post('/streams/{name}', self.append),
                web.get('/streams/{name}', self.read),
                web.post('/control', self.control),
            ]
        )
        return application

    async def append(self, http: web.Request) -> web.Response:
        """Append the body as one record."""
        await self._misbehave()
        stream = self._stream_by_name[http.match_info['name']]
        offset = stream.append(await http.read(), self.switches.keep)
        if self.switches.lose_answers:
            self.switches.lose_answers -= 1
            http.transport.close()
        return web.json_response({'offset': offset})

    async def read(self, http: web.Request) -> web.Response:
        """Return records from an offset on, waiting for one if need be."""
        await self._misbehave()
        stream = self._stream_by_name[http.match_info['name']]
        start = int(http.query.get('from', '0'))
        wait_ms = min(int(http.query.get('wait_ms', '0')), MAX_WAIT_MS)
        if start >= stream.next_offset and wait_ms:
            await _wait(stream.changed, wait_ms)
        await self._misbehave()
        start = max(start, stream.first_kept)
        skipped = start - stream.first_kept
        page = stream.bodies[skipped : skipped + PAGE_RECORDS]
        records = [
            {'offset': offset, 'body': base64.b64encode(body).decode()}
            for offset, body in enumerate(page, start)
        ]
        return web.json_response(
            {
                'first_kept': stream.first_kept,
                'next_offset': start + len(records),
                'records': records,
            }
        )

    async def control(self, http: web.Request) -> web.Response:
        """Switch faults on or off."""
        for name, setting in (await http.json()).items():
            setattr(self.switches, name, setting)
        return web.json_response(dataclasses.asdict(self.switches))

    async def _misbehave(self) -> None:
        if self.switches.slow_ms:
            await asyncio.sleep(self.switches.slow_ms / _MS_PER_SECOND)
        if self.switches.down:
            raise web.HTTPServiceUnavailable


async def _wait(changed: asyncio.Event, wait_ms: int) -> None:
    try:
        async with asyncio.timeout(wait_ms / _MS_PER_SECOND):
            await changed.wait()
    except TimeoutError:
        return


def main() -> None:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--listen', default='127.0.0.1:7400')
    arguments = parser.parse_args()

    async def serve() -> list[Closer]:
        application = LogStandin().make_application()
        runner = web.AppRunner(application, shutdown_timeout=0)
        return [await start_site(runner, arguments.listen)]

    run_until_signal(serve)


if __name__ == '__main__':
    main()
