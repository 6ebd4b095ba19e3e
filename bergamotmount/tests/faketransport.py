"""Fake transport, for tests of asyncio protocols without a network."""

import asyncio


class FakeTransport(asyncio.Transport):
    """Stores written bytes.

    Like a real transport, it calls ``connection_lost`` of its protocol after
    :meth:`abort`.
    """

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__({'peername': ('10.0.0.1', 4000)})
        self.written = bytearray()
        self.unsent_bytes = 0
        self.is_paused = False
        self.is_closed = False
        self.has_eof = False
        self._protocol = protocol

    def write(self, chunk) -> None:
        self.written += chunk

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.has_eof = True

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self.high = high

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)
