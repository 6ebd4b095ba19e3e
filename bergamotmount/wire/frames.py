"""Frames: length, checksum and kind before each message.

The header is twelve bytes: payload length, CRC-32 of kind and payload, and
the kind. Whatever doesn't fit raises :class:`FrameError` with a reason; the
connection it came on is closed, and nothing else is affected.
"""

import struct
import zlib

from bergamotmount.reasons import DropReason

_HEADER = struct.Struct('!III')

#: Length of the header in bytes.
HEADER_BYTES = _HEADER.size

#: Largest payload in bytes, by default.
MAX_PAYLOAD_BYTES = 4 << 20


class FrameError(Exception):
    """Bytes on a connection that are no valid frame."""

    def __init__(self, reason: DropReason) -> None:
        """Keep the ``reason`` for the counter of dropped connections."""
        super().__init__(reason)
        self.reason = reason


def pack_frame(kind: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    checksum = zlib.crc32(payload, kind)
    return _HEADER.pack(len(payload), checksum, kind) + payload


class FrameSplitter:
    """Cuts the bytes of one connection into frames.

    ::

        splitter = FrameSplitter()
        for kind, payload in splitter.feed(received):
            ...
        splitter.end()
    """

    def __init__(self, max_payload_bytes: int = MAX_PAYLOAD_BYTES) -> None:
        """Refuse frames whose payload is longer than ``max_payload_bytes``."""
        self._max_payload_bytes = max_payload_bytes
        self._received = bytearray()

    def feed(self, received: bytes) -> list[tuple[int, bytes]]:
        """Return kind and payload of each frame that is whole now.

        Raise :class:`FrameError` for anything malformed; frames before it
        are lost with it, as the connection is.
        """
        self._received += received
        frames = []
        start = 0
        while len(self._received) - start >= HEADER_BYTES:
            end = self._end_of_frame(start)
            if end > len(self._received):
                break
            frames.append(self._cut(start, end))
            start = end
        self._received = self._received[start:]
        return frames

    def end(self) -> None:
        """Raise :class:`FrameError` when a frame is left unfinished."""
        if self._received:
            raise FrameError(DropReason.FRAME_TRUNCATED)

    def _end_of_frame(self, start: int) -> int:
        length, _, _ = _HEADER.unpack_from(self._received, start)
        if length > self._max_payload_bytes:
            raise FrameError(DropReason.FRAME_TOO_LARGE)
        return start + HEADER_BYTES + length

    def _cut(self, start: int, end: int) -> tuple[int, bytes]:
        _, checksum, kind = _HEADER.unpack_from(self._received, start)
        payload = bytes(self._received[start + HEADER_BYTES : end])
        if zlib.crc32(payload, kind) != checksum:
            raise FrameError(DropReason.FRAME_CHECKSUM)
        return kind, payload
