"""Channels between nodes over TCP, with their dialer and listener."""

import asyncio
import collections
import dataclasses
import struct
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.log import part_logger
from bergamotmount.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryAccount,
)
from bergamotmount.messages import Heartbeat, Message
from bergamotmount.ports import ChannelError, UnsendableError
from bergamotmount.reasons import DropReason
from bergamotmount.wire.codec import FrameKind, decode, encode
from bergamotmount.wire.compression import (
    COMPRESSED_FLAG,
    FrameCompressor,
    FrameDecompressor,
)
from bergamotmount.wire.frames import (
    MAX_PAYLOAD_BYTES,
    FrameError,
    FrameSplitter,
    pack_frame,
)

#: Unsent bytes above which the connection to a slow peer is closed.
MAX_UNSENT_BYTES = 8 << 20

#: Messages waiting for :meth:`TcpChannel.receive`, and the bytes that they had
#: on the wire, above which reading pauses.
MAX_QUEUED_MESSAGES = 256
MAX_QUEUED_BYTES = 4 << 20

#: Unsent bytes above which the transport tells when they have been sent.
REPORTED_UNSENT_BYTES = 64 * 1024

_log = part_logger('links')


def _ignore_open(_channel: 'TcpChannel') -> None:
    """Ignore that a channel has been opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    """A message that waits, and the bytes that it had on the wire."""

    message: Message
    wire_bytes: int


class TcpChannel(asyncio.Protocol):
    """Channel over one TCP connection.

    Messages are decoded as their bytes arrive and queued for :meth:`receive`.
    Reading pauses while the queue is longer than its maximum.
    """

    def __init__(
        self,
        counters: Counters,
        on_open: Callable[['TcpChannel'], None] = _ignore_open,
        max_payload_bytes: int = MAX_PAYLOAD_BYTES,
        account: MemoryAccount | None = None,
    ) -> None:
        """Create a channel; ``on_open`` is called when it is connected.

        What it holds counts in ``account``.
        """
        account = account or MemoryAccount(Clock())
        self._holding = account.open(HoldingKind.PEER, self._shed)
        self._counters = counters
        self._on_open = on_open
        self._max_payload_bytes = max_payload_bytes
        self._splitter = FrameSplitter(max_payload_bytes)
        self._transport: asyncio.Transport | None = None
        self._messages: collections.deque[_Queued] = collections.deque()
        self._queued_bytes = 0
        self._message_or_end = asyncio.Event()
        self._end_reason: str | None = None
        self._is_reading_paused = False
        self._compressor: FrameCompressor | None = None
        self._decompressor: FrameDecompressor | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=REPORTED_UNSENT_BYTES, low=0)
        self._on_open(self)

    @property
    def received_ms(self) -> float:
        """When bytes were last received or sent."""
        return self._holding.moved_ms

    def pause_writing(self) -> None:
        """Go on: :meth:`send` closes the connection when it is too slow."""

    def resume_writing(self) -> None:
        """Hold no unsent bytes any more."""
        self._holding.move()
        self._update_holding()

    def data_received(self, received: bytes) -> None:
        """Decode messages; an invalid frame closes the connection.

        A frame that holds no message of this release is dropped alone: calls
        in flight on the connection go on.
        """
        self._holding.move()
        try:
            for kind, payload in self._splitter.feed(received):
                self._decode(*self._decompress(kind, payload))
        except FrameError as error:
            self._fail(error)
        if self._is_queue_full and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._message_or_end.set()
        self._update_holding()

    def connection_lost(self, error: Exception | None) -> None:
        """End the channel after the messages that are still queued."""
        if self._end_reason is None:
            try:
                self._splitter.end()
            except FrameError as truncated:
                self._fail(truncated)
        self._end_reason = self._end_reason or f'connection lost: {error}'
        self._message_or_end.set()
        self._holding.close()

    def start_compressing(self) -> None:
        """Compress all messages sent from now on.

        The peer compresses its own once it receives a compressed message.
        """
        if self._compressor is None:
            self._compressor = FrameCompressor()

    def send(self, message: Message) -> None:
        """Append a message to the transport's write buffer.

        Raise :class:`ChannelError` when the connection is closed, and
        :class:`UnsendableError` when the message can't be encoded. A
        connection with too many unsent bytes is closed.
        """
        if self._transport.is_closing():
            raise ChannelError('connection is closed')
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            raise ChannelError('connection closed: peer does not read')
        kind, payload = self._encode(message)
        frame_kind = int(kind)
        if self._compressor is not None:
            frame_kind |= COMPRESSED_FLAG
            payload = self._compressor.compress(payload)
        self._transport.write(pack_frame(frame_kind, payload))
        if self._transport.get_write_buffer_size() > REPORTED_UNSENT_BYTES:
            self._update_holding()

    async def receive(self) -> Message:
        """Return the next message.

        Raise :class:`ChannelError` at the end of the connection.
        """
        while not self._messages:
            if self._end_reason is not None:
                raise ChannelError(self._end_reason)
            self._message_or_end.clear()
            await self._message_or_end.wait()
        queued = self._messages.popleft()
        self._queued_bytes -= queued.wire_bytes
        if self._is_reading_paused and not self._is_queue_full:
            self._is_reading_paused = False
            self._transport.resume_reading()
        if queued.wire_bytes > REPORTED_UNSENT_BYTES:
            self._update_holding()
        return queued.message

    def close(self) -> None:
        """Close the connection and discard unsent bytes."""
        self._end_reason = self._end_reason or 'closed by this node'
        self._message_or_end.set()
        # The garbage collector may come much later.
        self._splitter.clear()
        if not self._transport.is_closing():
            self._transport.abort()

    def _encode(self, message: Message) -> tuple[FrameKind, bytes]:
        try:
            return encode(message)
        except (ValueError, OverflowError, TypeError, struct.error) as error:
            self._counters.dropped(DropReason.UNSENDABLE)
            name = type(message).__name__
            _log.exception('Message {} cannot be encoded.', name)
            raise UnsendableError(name) from error

    def _decode(self, kind: int, payload: bytes) -> None:
        """Queue a message; drop one that can't be used, and go on."""
        try:
            message = decode(kind, payload)
        except FrameError as error:
            self._counters.dropped(error.reason)
            return
        if isinstance(message, Heartbeat) and message.omitted:
            self._counters.dropped(DropReason.MESSAGE_PART)
        self._messages.append(_Queued(message, len(payload)))
        self._queued_bytes += len(payload)

    @property
    def _is_queue_full(self) -> bool:
        return (
            len(self._messages) > MAX_QUEUED_MESSAGES
            or self._queued_bytes > MAX_QUEUED_BYTES
        )

    def _shed(self) -> None:
        """Close a connection that holds too much, and drop all of it."""
        self._counters.dropped(DropReason.NO_MEMORY)
        self.close()
        self._messages.clear()
        self._queued_bytes = 0

    def _update_holding(self) -> None:
        held_bytes = (
            self._splitter.held_bytes
            + self._queued_bytes
            + self._transport.get_write_buffer_size()
        )
        self._holding.update(CONNECTION_BYTES + held_bytes, held_bytes)

    def _fail(self, error: FrameError) -> None:
        self._counters.dropped(error.reason)
        self._end_reason = f'invalid frame: {error.reason}'
        self._transport.abort()

    def _decompress(self, kind: int, payload: bytes) -> tuple[int, bytes]:
        if not kind & COMPRESSED_FLAG:
            return kind, payload
        if self._decompressor is None:
            self._decompressor = FrameDecompressor(self._max_payload_bytes)
            self.start_compressing()
        return kind & ~COMPRESSED_FLAG, self._decompressor.decompress(payload)


def _never_compress(_address: str) -> bool:
    return False


class TcpDialer:
    """Opens TCP channels."""

    def __init__(
        self,
        counters: Counters,
        should_compress: Callable[[str], bool] = _never_compress,
        account: MemoryAccount | None = None,
    ) -> None:
        """Count dropped connections in ``counters``.

        Messages to an address are compressed if ``should_compress`` returns
        true for it. What channels hold counts in ``account``.
        """
        self._account = account
        self._counters = counters
        self._should_compress = should_compress

    async def open(self, address: str) -> TcpChannel:
        """Return a channel to ``ip:port``.

        Raise :class:`ChannelError` when the connection fails.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            _, channel = await loop.create_connection(
                lambda: TcpChannel(self._counters, account=self._account),
                host,
                int(port),
            )
        except (OSError, ValueError, OverflowError) as error:
            raise ChannelError(f'cannot connect to {address}') from error
        if self._should_compress(address):
            channel.start_compressing()
        return channel
