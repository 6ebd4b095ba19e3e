"""Channels over TCP: the dialer and the listener of a node."""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotmount.counters import Counters
from bergamotmount.messages import Message
from bergamotmount.ports import ChannelError
from bergamotmount.wire.codec import decode, encode
from bergamotmount.wire.compression import (
    COMPRESSED,
    FrameCompressor,
    FrameExpander,
)
from bergamotmount.wire.frames import (
    MAX_PAYLOAD_BYTES,
    FrameError,
    pack_frame,
    read_frame,
)

#: Bytes that may wait for a peer that doesn't read, before it is cut off.
MAX_UNSENT_BYTES = 8 << 20


class TcpChannel:
    """Channel over one TCP connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        counters: Counters,
        max_payload_bytes: int = MAX_PAYLOAD_BYTES,
    ) -> None:
        """Speak over an open connection."""
        self._reader = reader
        self._writer = writer
        self._transport = writer.transport
        self._counters = counters
        self._max_payload_bytes = max_payload_bytes
        self._compressor: FrameCompressor | None = None
        self._expander: FrameExpander | None = None

    def start_compressing(self) -> None:
        """Compress what is sent from now on; the peer then does the same."""
        if self._compressor is None:
            self._compressor = FrameCompressor()

    def send(self, message: Message) -> None:
        """Write a message to the connection's buffer."""
        if self._transport.is_closing():
            raise ChannelError('connection is closed')
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise ChannelError('peer does not read')
        kind, payload = encode(message)
        number = int(kind)
        if self._compressor is not None:
            number |= COMPRESSED
            payload = self._compressor.compress(payload)
        self._transport.write(pack_frame(number, payload))

    async def receive(self) -> Message:
        """Return the next message."""
        try:
            kind, payload = await read_frame(
                self._reader,
                self._max_payload_bytes,
            )
            return decode(*self._plain(kind, payload))
        except FrameError as error:
            self._counters.dropped(error.reason)
            self.close()
            raise ChannelError(f'bad frame: {error.reason}') from error
        except (EOFError, OSError) as error:
            self.close()
            raise ChannelError('connection ended') from error

    def close(self) -> None:
        """Close the connection and discard what isn't sent yet."""
        if not self._transport.is_closing():
            self._transport.abort()

    def _plain(self, kind: int, payload: bytes) -> tuple[int, bytes]:
        if not kind & COMPRESSED:
            return kind, payload
        if self._expander is None:
            self._expander = FrameExpander(self._max_payload_bytes)
            self.start_compressing()
        return kind & ~COMPRESSED, self._expander.expand(payload)


def _is_never_far(_address: str) -> bool:
    return False


class TcpDialer:
    """Opens TCP channels."""

    def __init__(
        self,
        counters: Counters,
        is_far: Callable[[str], bool] = _is_never_far,
    ) -> None:
        """Count dropped connections in ``counters``.

        What goes to an address for which ``is_far`` holds is compressed.
        """
        self._counters = counters
        self._is_far = is_far

    async def open(self, address: str) -> TcpChannel:
        """Return a channel to ``ip:port``."""
        host, _, port = address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError) as error:
            raise ChannelError(f'no connection to {address}') from error
        channel = TcpChannel(reader, writer, self._counters)
        if self._is_far(address):
            channel.start_compressing()
        return channel


class PeerListener:
    """Listens for peers and serves each connection in a task of its own."""

    def __init__(
        self,
        serve: Callable[[TcpChannel], Awaitable[None]],
        counters: Counters,
    ) -> None:
        """Hand each channel to ``serve``."""
        self._serve = serve
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listen on ``ip:port`` and return the address that was bound.

        Raise ``OSError`` when the address can't be bound.
        """
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept,
            host,
            int(port),
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = TcpChannel(reader, writer, self._counters)
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
