"""Loopback proxies that delay, cut, silence and reset connections."""

import asyncio
import contextlib
import dataclasses

_CHUNK_BYTES = 1 << 16
_POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class Weather:
    """What happens to the connections of one proxy.

    ``delay_s`` holds each piece back; ``holds_in`` and ``holds_out`` let
    nothing pass towards the target and back, without a word; ``refuses``
    ends new connections at once.
    """

    delay_s: float = 0
    holds_in: bool = False
    holds_out: bool = False
    refuses: bool = False

    def clear(self) -> None:
        """Let everything pass again."""
        self.delay_s = 0
        self.holds_in = False
        self.holds_out = False
        self.refuses = False


class Proxy:
    """Listens at one address and carries bytes to another."""

    def __init__(self, listen: str, target: str) -> None:
        """Carry what comes to ``listen`` on to ``target``."""
        self.weather = Weather()
        self._listen = listen
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._is_closed = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raise ``OSError`` when the address is taken."""
        host, _, port = self._listen.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let nothing pass on the connections of now; new ones work."""
        self._silenced |= self._writers

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.weather.refuses:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._carry(reader, far_writer, is_inward=True),
                self._carry(far_reader, writer, is_inward=False),
            )
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                self._silenced.discard(each)
                each.transport.abort()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_inward: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                piece = await reader.read(_CHUNK_BYTES)
                await self._wait(writer, is_inward)
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()

    async def _wait(self, writer: asyncio.StreamWriter, is_inward: bool):
        await asyncio.sleep(self.weather.delay_s)
        while self._is_held(writer, is_inward):
            await asyncio.sleep(_POLL_S)

    def _is_held(self, writer: asyncio.StreamWriter, is_inward: bool) -> bool:
        if self._is_closed:
            return False
        weather = self.weather
        is_held = weather.holds_in if is_inward else weather.holds_out
        return is_held or writer in self._silenced
