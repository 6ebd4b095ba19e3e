"""Channels over TCP: the dialer and the listener of a node."""

import asyncio
import collections
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
    FrameSplitter,
    pack_frame,
)

#: Bytes that may wait for a peer that doesn't read, before it is cut off.
MAX_UNSENT_BYTES = 8 << 20

#: Messages that may wait to be received before reading pauses.
MAX_WAITING = 256


def _do_nothing(_channel: 'TcpChannel') -> None:
    """Stand for a callback that nobody needs."""


class TcpChannel(asyncio.Protocol):
    """Channel over one TCP connection.

    Messages are decoded as their bytes come, and wait in order for
    :meth:`receive`. While many wait, nothing more is read.
    """

    def __init__(
        self,
        counters: Counters,
        on_open: Callable[['TcpChannel'], None] = _do_nothing,
        max_payload_bytes: int = MAX_PAYLOAD_BYTES,
    ) -> None:
        """Speak over a connection; ``on_open`` is called once it is there."""
        self._counters = counters
        self._on_open = on_open
        self._max_payload_bytes = max_payload_bytes
        self._splitter = FrameSplitter(max_payload_bytes)
        self._transport: asyncio.Transport | None = None
        self._messages: collections.deque[Message] = collections.deque()
        self._arrived = asyncio.Event()
        self._end: str | None = None
        self._is_paused = False
        self._compressor: FrameCompressor | None = None
        self._expander: FrameExpander | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start with a new connection."""
        self._transport = transport
        self._on_open(self)

    def data_received(self, received: bytes) -> None:
        """Decode what came; a bad frame ends the connection."""
        try:
            for kind, payload in self._splitter.feed(received):
                self._messages.append(decode(*self._plain(kind, payload)))
        except FrameError as error:
            self._fail(error)
        if len(self._messages) > MAX_WAITING and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._arrived.set()

    def connection_lost(self, error: Exception | None) -> None:
        """End the channel once what came before is received."""
        if self._end is None:
            try:
                self._splitter.end()
            except FrameError as unfinished:
                self._fail(unfinished)
        self._end = self._end or f'connection ended: {error}'
        self._arrived.set()

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
        while not self._messages:
            if self._end is not None:
                raise ChannelError(self._end)
            self._arrived.clear()
            await self._arrived.wait()
        if self._is_paused and len(self._messages) <= MAX_WAITING:
            self._is_paused = False
            self._transport.resume_reading()
        return self._messages.popleft()

    def close(self) -> None:
        """Close the connection and discard what isn't sent yet."""
        self._end = self._end or 'closed here'
        self._arrived.set()
        if not self._transport.is_closing():
            self._transport.abort()

    def _fail(self, error: FrameError) -> None:
        self._counters.dropped(error.reason)
        self._end = f'bad frame: {error.reason}'
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
        loop = asyncio.get_running_loop()
        try:
            _, channel = await loop.create_connection(
                lambda: TcpChannel(self._counters),
                host,
                int(port),
            )
        except (OSError, ValueError) as error:
            raise ChannelError(f'no connection to {address}') from error
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
        self._server = await asyncio.get_running_loop().create_server(
            lambda: TcpChannel(self._counters, self._accept),
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

    def _accept(self, channel: TcpChannel) -> None:
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
