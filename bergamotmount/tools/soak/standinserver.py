"""Stand-in of a backend server that misbehaves as it is told."""

import asyncio
import dataclasses
import json
import random
import time

import httptools

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.http import pack_request, pack_response
from bergamotmount.platform import names
from bergamotmount.tools.soak.httpcaller import ask
from bergamotmount.tools.soak.ledger import Ledger

HEARTBEAT_S = 1.5
SLOTS = 16
WORK_MS = 40

#: Time for which a server that leaves goes on serving.
SERVES_ON_S = 2.6

_OK = 200
_SHED = 503
_MISDIRECTED = 421
_HEADERS = names.HEADERS


@dataclasses.dataclass(frozen=True, slots=True)
class Misbehaviour:
    """Shares of the requests with which a server misbehaves.

    It sheds them; writes an answer or a refusal a second time, late; loses the
    answer; stops in the middle of its head; answers 503 though it has run
    them; or writes bytes that are no HTTP. ``slowdown`` multiplies its work
    time.
    """

    sheds: float = 0
    repeats_answers: float = 0
    repeats_refusals: float = 0
    loses: float = 0
    truncates: float = 0
    unmarked: float = 0
    garbles: float = 0
    slowdown: float = 1

    @classmethod
    def draw(cls, rng: random.Random) -> 'Misbehaviour':
        """Return one with some faults, or none."""
        names_of_shares = [each.name for each in dataclasses.fields(cls)][:-1]
        count = rng.randint(0, len(names_of_shares))
        shares = {
            name: rng.uniform(0.02, 0.1)
            for name in rng.sample(names_of_shares, count)
        }
        slowdown = rng.choice((1, 1, 1, 8))
        drawn = cls(**shares, slowdown=slowdown)
        # Refusals come in larger shares than the other faults.
        return dataclasses.replace(
            drawn,
            sheds=drawn.sheds * rng.uniform(1, 8),
            repeats_refusals=drawn.repeats_refusals * rng.uniform(1, 8),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAddresses:
    """Where a server listens, and where its node takes announcements."""

    own: str
    control: str


class StandinServer:
    """One process of a backend server; ``runs`` go to the ledger."""

    def __init__(
        self,
        instance: str,
        service: str,
        addresses: ServerAddresses,
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        """Start neither listening nor announced."""
        self.instance = instance
        self.service = service
        self.addresses = addresses
        self.ledger = ledger
        self.rng = rng
        self.misbehaviour = Misbehaviour()
        self.slots = SLOTS
        self.free_slots = asyncio.Semaphore(SLOTS)
        self.connections: set[_ServerSide] = set()
        self._born_ms = int(time.time() * MS_PER_SECOND)
        self._sequence = 0
        self._state = 'ready'
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen and announce the server regularly."""
        host, _, port = self.addresses.own.rpartition(':')
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self.make_connection, host, int(port), backlog=512
        )
        self._tasks.append(asyncio.create_task(self._announce_regularly()))

    def make_connection(self) -> '_ServerSide':
        """Return the server's side of a new connection."""
        return _ServerSide(self)

    async def leave(self) -> None:
        """Announce the departure, serve on for a while, then end."""
        self._state = 'draining'
        if await self.announce():
            self.ledger.record_departure(self.instance)
        await asyncio.sleep(SERVES_ON_S)
        path = f'{names.INSTANCES_PATH}{self.instance}'
        await ask(self.addresses.control, pack_request('DELETE', path, [], b''))
        self.close()

    def close(self) -> None:
        """End like a process: all connections close."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def announce(self) -> bool:
        """Announce the state; return whether that was acknowledged."""
        self._sequence += 1
        body = {
            'address': self.addresses.own,
            'born': self._born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'any',
                'slots': self.slots,
            },
            'status': {
                'state': self._state,
                'sequence': self._sequence,
                'cold_left_s': 0,
            },
        }
        packed = pack_request(
            'PUT',
            f'{names.INSTANCES_PATH}{self.instance}',
            ['Host', 'control', 'Content-Type', 'application/json'],
            json.dumps(body).encode(),
        )
        answer = await ask(self.addresses.control, packed, timeout_s=1)
        return answer is not None and answer.status == _OK

    async def _announce_regularly(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)


class _ServerSide(asyncio.Protocol):
    """One connection: runs one request after the other."""

    def __init__(self, server: StandinServer) -> None:
        self.transport: asyncio.Transport | None = None
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self._headers: dict[str, str] = {}
        self._path = ''
        self._held = b''
        self._serving: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._server.connections.add(self)
        self._serving = asyncio.create_task(self._serve())

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._serving.cancel()

    def data_received(self, received: bytes) -> None:
        self._parser.feed_data(received)

    def on_url(self, url: bytes) -> None:
        self._path += url.decode()

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers[name.decode()] = text.decode()

    def on_message_complete(self) -> None:
        self._queue.put_nowait({'': self._path, **self._headers})
        self._headers = {}
        self._path = ''

    async def _serve(self) -> None:
        while not self.transport.is_closing():
            await self._answer(await self._queue.get())

    async def _answer(self, request: dict[str, str]) -> None:
        server = self._server
        if request[''] == '/healthz':
            own = [_HEADERS.instance, server.instance]
            self.transport.write(pack_response(_OK, own, b'', closes=False))
            return
        if request.get(_HEADERS.target) not in {None, server.instance}:
            packed = pack_response(_MISDIRECTED, [], b'', closes=False)
            self.transport.write(packed)
            return
        # A second copy comes where the next response is expected.
        self.transport.write(self._held)
        self._held = b''
        request_id = request[_HEADERS.request_id]
        if self._draws('sheds'):
            headers = [_HEADERS.request_id, request_id, _HEADERS.not_run, '1']
            refusal = pack_response(_SHED, headers, b'', closes=False)
            self._write(refusal, 'repeats_refusals')
            return
        async with server.free_slots:
            server.ledger.record_run(
                request_id, server.instance, server.service
            )
            work_ms = WORK_MS * server.misbehaviour.slowdown
            await asyncio.sleep(work_ms / MS_PER_SECOND)
        self._write_answer(request_id)

    def _write_answer(self, request_id: str) -> None:
        status = _SHED if self._draws('unmarked') else _OK
        headers = [
            _HEADERS.request_id,
            request_id,
            _HEADERS.signature,
            f'{self._server.instance}.{request_id}',
        ]
        body = f'done {request_id}'.encode()
        packed = pack_response(status, headers, body, closes=False)
        if self._draws('loses'):
            self.transport.abort()
        elif self._draws('truncates'):
            self.transport.write(
                packed[: self._server.rng.randrange(len(packed))]
            )
            self.transport.close()
        elif self._draws('garbles'):
            self.transport.write(b'\x00 no response\r\n\r\n')
        else:
            self._write(packed, 'repeats_answers')

    def _write(self, packed: bytes, repeats: str) -> None:
        self.transport.write(packed)
        if self._draws(repeats):
            self._held = packed

    def _draws(self, fault: str) -> bool:
        share = getattr(self._server.misbehaviour, fault)
        return self._server.rng.random() < share
