"""Frames: length, checksum and kind before each message.

The header is twelve bytes: payload length, CRC-32 of kind and payload, and
the kind. Whatever doesn't fit raises :class:`FrameError` with a reason; the
connection it came on is closed, and nothing else is affected.
"""

import asyncio
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


async def read_frame(
    reader: asyncio.StreamReader,
    max_payload_bytes: int = MAX_PAYLOAD_BYTES,
) -> tuple[int, bytes]:
    """Return kind and payload of the next frame.

    Raise ``EOFError`` at the end between two frames and :class:`FrameError`
    for anything malformed.
    """
    header = await _read_header(reader)
    length, checksum, kind = _HEADER.unpack(header)
    if length > max_payload_bytes:
        raise FrameError(DropReason.FRAME_TOO_LARGE)
    try:
        payload = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        raise FrameError(DropReason.FRAME_TRUNCATED) from None
    if zlib.crc32(payload, kind) != checksum:
        raise FrameError(DropReason.FRAME_CHECKSUM)
    return kind, payload


async def _read_header(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readexactly(HEADER_BYTES)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise FrameError(DropReason.FRAME_TRUNCATED) from None
        raise EOFError from None
