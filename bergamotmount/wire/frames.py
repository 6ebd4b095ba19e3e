"""Framing of messages: a header with length, checksum and kind.

The header has twelve bytes: the payload length, the CRC-32 of kind and
payload, and the kind. Bytes that aren't a valid frame raise
:class:`FrameError` with a reason. Only the connection on which they were
received is closed.
"""

import struct
import zlib

from bergamotmount.messages import MAX_BODY_BYTES
from bergamotmount.reasons import DropReason

_HEADER = struct.Struct('!III')

#: Length of the header in bytes.
HEADER_BYTES = _HEADER.size

#: Default maximum size of a payload in bytes: a body and all else.
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES + 256 * 1024


class FrameError(Exception):
    """Bytes on a connection aren't a valid frame."""

    def __init__(self, reason: DropReason) -> None:
        """Create the error; dropped connections are counted by ``reason``."""
        super().__init__(reason)
        self.reason = reason


def pack_frame(kind: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    checksum = zlib.crc32(payload, kind)
    return _HEADER.pack(len(payload), checksum, kind) + payload


class FrameSplitter:
    """Splits the byte stream of one connection into frames.

    ::

        splitter = FrameSplitter()
        for kind, payload in splitter.feed(received):
            ...
        splitter.end()
    """

    def __init__(self, max_payload_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        """Reject frames whose payload is longer than ``max_payload_bytes``."""
        self._max_payload_bytes = max_payload_bytes
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[tuple[int, bytes]]:
        """Return kind and payload of each frame that is complete now.

        Raise :class:`FrameError` when a frame is malformed. Complete frames
        before it in ``received`` are discarded, as the connection is closed.
        """
        self._buffer += received
        frames = []
        start = 0
        while len(self._buffer) - start >= HEADER_BYTES:
            end = self._frame_end(start)
            if end > len(self._buffer):
                break
            frames.append(self._parse_frame(start, end))
            start = end
        if start:
            self._buffer = self._buffer[start:]
        return frames

    @property
    def held_bytes(self) -> int:
        """Bytes of the frame that isn't complete yet."""
        return len(self._buffer)

    def clear(self) -> None:
        """Drop the frame that isn't complete."""
        self._buffer.clear()

    def end(self) -> None:
        """Raise :class:`FrameError` when the stream ends within a frame."""
        if self._buffer:
            raise FrameError(DropReason.FRAME_TRUNCATED)

    def _frame_end(self, start: int) -> int:
        length, _, _ = _HEADER.unpack_from(self._buffer, start)
        if length > self._max_payload_bytes:
            raise FrameError(DropReason.FRAME_TOO_LARGE)
        return start + HEADER_BYTES + length

    def _parse_frame(self, start: int, end: int) -> tuple[int, bytes]:
        _, checksum, kind = _HEADER.unpack_from(self._buffer, start)
        payload = bytes(self._buffer[start + HEADER_BYTES : end])
        if zlib.crc32(payload, kind) != checksum:
            raise FrameError(DropReason.FRAME_CHECKSUM)
        return kind, payload
