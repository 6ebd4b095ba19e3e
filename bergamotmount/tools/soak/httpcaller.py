"""HTTP/1.1 client of the soak: kept connections and single requests."""

import asyncio
import dataclasses

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.http import header_of

_END_OF_HEAD = b'\r\n\r\n'


class EndedError(Exception):
    """The connection ended, or no complete response came in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def closes(self) -> bool:
        """Whether its connection takes no further request."""
        return header_of(self.headers, 'Connection') == 'close'


class CallerConnection:
    """A connection on which responses are read in the order of requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str, timeout_s: float = 1):
        """Connect to ``ip:port``; raise EndedError if that fails."""
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(timeout_s):
                streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            raise EndedError(str(error)) from error
        return cls(*streams)

    def send(self, packed: bytes) -> None:
        """Write a request."""
        self._writer.write(packed)

    async def read(self, timeout_ms: float) -> Response:
        """Return the next response; raise EndedError if there is none."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await self._read()
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
            raise EndedError(repr(error)) from error

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read(self) -> Response:
        head = await self._reader.readuntil(_END_OF_HEAD)
        first, *lines = head.decode('latin-1').rstrip().split('\r\n')
        headers = []
        for line in lines:
            name, _, text = line.partition(':')
            headers.append((name, text.strip()))
        length = int(header_of(headers, 'Content-Length') or 0)
        body = await self._reader.readexactly(length)
        return Response(int(first.split(' ')[1]), headers, body)


async def ask(
    address: str, packed: bytes, timeout_s: float = 2
) -> Response | None:
    """Return the response to one request, ``None`` if there is none."""
    try:
        connection = await CallerConnection.open(address, timeout_s)
    except EndedError:
        return None
    connection.send(packed)
    try:
        return await connection.read(timeout_s * MS_PER_SECOND)
    except EndedError:
        return None
    finally:
        connection.close()
