"""Compression of the frames on one connection.

Calls and answers repeat most of their headers. A stream with a small window
keeps these in view from frame to frame, so each takes a few bytes after the
first. Bytes between failure domains are dear, processor time is not.
"""

import zlib

from bergamotmount.reasons import DropReason
from bergamotmount.wire.frames import FrameError

#: Window of the stream, as a power of two in bytes, without a header.
WINDOW_BITS = -12

#: Memory for the state of a compressor, from 1 to 9.
MEMORY_LEVEL = 4

#: Effort of the compressor, from 1 to 9.
EFFORT = 4

#: Bit in the kind of a frame that marks a compressed payload.
COMPRESSED = 1 << 16


class FrameCompressor:
    """Compresses the payloads of one direction, in order."""

    def __init__(self) -> None:
        """Start a stream."""
        self._stream = zlib.compressobj(
            EFFORT,
            zlib.DEFLATED,
            WINDOW_BITS,
            MEMORY_LEVEL,
        )

    def compress(self, payload: bytes) -> bytes:
        """Return the bytes that stand for a payload."""
        packed = self._stream.compress(payload)
        return packed + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameExpander:
    """Restores the payloads of one direction, in order."""

    def __init__(self, max_payload_bytes: int) -> None:
        """Start a stream whose payloads are bounded."""
        self._max_payload_bytes = max_payload_bytes
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def expand(self, packed: bytes) -> bytes:
        """Return a payload; raise :class:`FrameError` if it is none."""
        try:
            payload = self._stream.decompress(packed, self._max_payload_bytes)
        except zlib.error as error:
            raise FrameError(DropReason.FRAME_MALFORMED) from error
        if self._stream.unconsumed_tail:
            raise FrameError(DropReason.FRAME_TOO_LARGE)
        return payload
