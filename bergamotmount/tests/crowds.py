"""Crowds of callers that don't behave, for tests with real processes.

A crowd is a number of callers that send the same bytes, each on a connection
of its own, which then stays open. A request of legal size is made of pieces::

    crowd = Crowd(callers=300, pieces=short_lines())
    await crowd.send(address)
    crowd.close()
"""

import asyncio
import contextlib
import dataclasses
import itertools
import socket
from collections.abc import Sequence

from bergamotmount.wire.frames import pack_frame

#: Time in which all callers of a crowd send their bytes, at most. Those that
#: the node doesn't read any more stay where they are.
SEND_TIMEOUT_S = 20

#: Number of callers that connect in one go.
CONNECT_BATCH = 50

#: Size of one write of a body that is sent as fast as it is read, in bytes.
WRITE_BYTES = 256 * 1024

#: Size of one piece of a body that is sent piece by piece, in bytes.
PIECE_BYTES = 16 * 1024

#: Pause between two pieces.
PIECE_PAUSE_S = 0.002

#: Number of header lines: with the rest they stay below ``max_header_bytes``.
SHORT_LINES = 2650
ODD_LINES = 3200

_REQUEST_LINES = (
    b'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Attempt-Id: crowd\r\nX-Deadline-Ms: 5000\r\n'
)
_READ_LINES = (
    b'GET /view/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Attempt-Id: crowd\r\nX-Deadline-Ms: 5000\r\n'
)
_END = b'\r\n'


@dataclasses.dataclass(slots=True)
class Crowd:
    """Callers that all send ``pieces``, and pause after each for a time.

    Callers that don't read keep few bytes in their kernel.
    """

    callers: int
    pieces: Sequence[bytes]
    pause_s: float = 0
    reads: bool = True
    _tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    _reading: list[asyncio.Task] = dataclasses.field(default_factory=list)
    _writers: list[asyncio.StreamWriter] = dataclasses.field(
        default_factory=list
    )

    async def send(self, address: str) -> None:
        """Send everything, as far as the node takes it."""
        for first in range(0, self.callers, CONNECT_BATCH):
            count = min(CONNECT_BATCH, self.callers - first)
            self._tasks.extend(
                asyncio.create_task(self._call(address)) for _ in range(count)
            )
            await asyncio.sleep(0.05)
        await asyncio.wait(self._tasks, timeout=SEND_TIMEOUT_S)

    def close(self) -> None:
        """End all connections."""
        for task in (*self._tasks, *self._reading):
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _call(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        # A node may refuse or close the connection of such a caller.
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                sock=await _connect(host, int(port)), limit=PIECE_BYTES
            )
            self._writers.append(writer)
            if self.reads:
                self._reading.append(asyncio.create_task(_discard(reader)))
            for piece in self.pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(self.pause_s)


def short_lines(
    is_whole: bool, line: bytes = b'ab:c\r\n', count: int = SHORT_LINES
) -> list[bytes]:
    """Return a head of very many short lines, with or without its end."""
    return _with_lines(line * count, is_whole)


def odd_lines(is_whole: bool) -> list[bytes]:
    """Return a head of very many lines without a value."""
    return _with_lines(b'ab:\r\n' * ODD_LINES, is_whole)


def sized_body(
    size: int, is_whole: bool, step: int, path: bytes = b'/order/1'
) -> list[bytes]:
    """Return a request whose body has a length; else its last byte lacks."""
    sent = size if is_whole else size - 1
    lines = _REQUEST_LINES.replace(b'/order/1', path)
    head = b'%bContent-Length: %d\r\n\r\n' % (lines, size)
    return [head, *_cut(b'x' * sent, step)]


def chunked_body(
    chunk_bytes: int, chunks: int, is_whole: bool, chunks_per_piece: int
) -> list[bytes]:
    """Return a request with a chunked body; else its last chunk lacks."""
    head = b'%bTransfer-Encoding: chunked\r\n\r\n' % _REQUEST_LINES
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    piece = chunk * chunks_per_piece
    pieces = [head]
    pieces.extend(itertools.repeat(piece, chunks // chunks_per_piece))
    if is_whole:
        pieces.append(b'0\r\n\r\n')
    return pieces


def frame_without_end(payload_bytes: int) -> list[bytes]:
    """Return a frame between nodes whose last byte lacks."""
    frame = pack_frame(1, b'x' * payload_bytes)
    return _cut(frame[:-1], WRITE_BYTES)


def plain_request(request: str) -> bytes:
    """Return the ordinary request of a caller that behaves."""
    return (
        b'GET /view/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Attempt-Id: %b\r\nX-Deadline-Ms: 5000\r\n\r\n' % request.encode()
    )


def _with_lines(lines: bytes, is_whole: bool) -> list[bytes]:
    head = _READ_LINES + lines
    return [head + _END] if is_whole else [head]


def _cut(body: bytes, step: int) -> list[bytes]:
    starts = range(0, len(body), step)
    return [body[start : start + step] for start in starts]


async def _connect(host: str, port: int) -> socket.socket:
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
    opened.setblocking(False)
    await asyncio.get_running_loop().sock_connect(opened, (host, port))
    return opened


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        is_open = True
        while is_open:
            is_open = bool(await reader.read(WRITE_BYTES))
