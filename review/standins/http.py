"""HTTP/1.1 for stand-ins: a server protocol and a client connection."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response: its first line, headers and body."""

    first: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def method(self) -> str:
        return self.first.split(' ')[0]

    @property
    def target(self) -> str:
        return self.first.split(' ')[1]

    @property
    def status(self) -> int:
        return int(self.first.split(' ')[1])


def parse_head(head: bytes) -> Message:
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(lines[0], headers)


def pack(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def pack_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    headers = {**headers, 'Content-Length': str(len(body))}
    return pack(f'HTTP/1.1 {status} Status', headers, body)


class ServerConnection(asyncio.Protocol):
    """One accepted connection; requests are handled one at a time.

    The handler is cancelled when the connection ends.
    """

    def __init__(self, handler) -> None:
        self.requests = 0
        self.held: bytes = b''
        self._handler = handler
        self._buffer = b''
        self._task: asyncio.Task | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        self._buffer += received
        self._next()

    def connection_lost(self, error) -> None:
        if self._task is not None:
            self._task.cancel()

    def send(self, packed: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(packed)

    def _next(self) -> None:
        if self._task is not None:
            return
        head, end, rest = self._buffer.partition(b'\r\n\r\n')
        if not end:
            return
        request = parse_head(head)
        size = int(request.headers.get('content-length', '0'))
        if len(rest) < size:
            return
        request.body = rest[:size]
        self._buffer = rest[size:]
        self.requests += 1
        self._task = asyncio.get_running_loop().create_task(
            self._handle(request)
        )

    async def _handle(self, request: Message) -> None:
        try:
            await self._handler(self, request)
        finally:
            self._task = None
        self._next()


async def listen(handler, host: str, port: int) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ServerConnection(handler), host, port, backlog=512
    )


class Client:
    """A client's connection; ``read`` returns ``None`` if it has ended."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Client':
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, packed: bytes) -> None:
        self._writer.write(packed)

    async def read(self, timeout_s: float) -> Message | None:
        try:
            async with asyncio.timeout(timeout_s):
                head = await self._reader.readuntil(b'\r\n\r\n')
                response = parse_head(head[:-4])
                size = int(response.headers.get('content-length', '0'))
                response.body = await self._reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return None
        return response

    def close(self) -> None:
        self._writer.close()


async def ask(
    address: str, packed: bytes, timeout_s: float = 5
) -> Message | None:
    """Send one request on a connection of its own; ``None`` without answer."""
    try:
        async with asyncio.timeout(timeout_s):
            client = await Client.open(address)
    except (OSError, TimeoutError):
        return None
    client.send(packed)
    try:
        return await client.read(timeout_s)
    finally:
        client.close()
