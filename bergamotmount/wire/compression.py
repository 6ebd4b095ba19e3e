"""Compression of frame payloads, with one stream for each direction.

Calls and answers on a connection repeat most of their headers. The stream
keeps a small window over all frames, so a repeated header takes only a few
bytes. Traffic between failure domains is expensive and processor time is not.
"""

import zlib

from bergamotmount.reasons import DropReason
from bergamotmount.wire.frames import FrameError

#: Window size as a power of two in bytes; negative for no stream header.
WINDOW_BITS = -12

#: Memory level of the compressor in zlib, from 1 to 9.
MEMORY_LEVEL = 4

#: Compression level in zlib, from 1 to 9.
COMPRESSION_LEVEL = 4

#: Flag in the kind of a frame that marks a compressed payload.
COMPRESSED_FLAG = 1 << 16


class FrameCompressor:
    """Compresses the payloads of one direction, in order."""

    def __init__(self) -> None:
        """Start an empty deflate stream."""
        self._stream = zlib.compressobj(
            COMPRESSION_LEVEL,
            zlib.DEFLATED,
            WINDOW_BITS,
            MEMORY_LEVEL,
        )

    def compress(self, payload: bytes) -> bytes:
        """Return the compressed payload, flushed to its last byte."""
        compressed = self._stream.compress(payload)
        return compressed + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameDecompressor:
    """Decompresses the payloads of one direction, in order."""

    def __init__(self, max_payload_bytes: int) -> None:
        """Start an empty stream; payloads have a maximum size."""
        self._max_payload_bytes = max_payload_bytes
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, compressed: bytes) -> bytes:
        """Return the decompressed payload.

        Raise :class:`FrameError` when it is malformed or too large.
        """
        try:
            payload = self._stream.decompress(
                compressed,
                self._max_payload_bytes,
            )
        except zlib.error as error:
            raise FrameError(DropReason.FRAME_MALFORMED) from error
        if self._stream.unconsumed_tail:
            raise FrameError(DropReason.FRAME_TOO_LARGE)
        return payload
