"""Base of protocols that read little at a time, into one shared buffer."""

import abc
import asyncio

#: Maximum number of bytes that are read in one go. A connection that is paused
#: has read no more than these beyond what it wanted.
READ_BYTES = 16 * 1024

#: Buffer that all connections read into, one after the other.
_read_buffer = memoryview(bytearray(READ_BYTES))


class BufferedReader(asyncio.BufferedProtocol, abc.ABC):
    """Reads at most ``READ_BYTES`` at a time."""

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer to read into."""
        return _read_buffer

    def buffer_updated(self, size: int) -> None:
        """Parse the bytes that have been read."""
        self.data_received(bytes(_read_buffer[:size]))

    @abc.abstractmethod
    def data_received(self, received: bytes) -> None:
        """Handle received bytes."""
