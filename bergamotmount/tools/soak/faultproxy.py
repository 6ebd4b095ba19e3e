"""Proxy in front of a node or the store, which harms connections to it.

The bytes that a disturbance holds back come late, in order, once it ends: a
network that was cut sends again what it has lost. A connection that was
silenced stays open and never carries anything again; new ones work.
"""

import asyncio
import contextlib
import dataclasses
import random
import socket
import struct

_CHUNK_BYTES = 64 * 1024

#: Option of a socket: closing it resets its connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """What becomes of a share of the connections, and of new ones.

    Each chunk is delayed by ``delay_s``. Bytes ``to_node`` or ``from_node``
    are held back: one of them is a cut in one direction, both are silence.
    With ``refuses`` new connections are reset.
    """

    share: float = 0
    delay_s: float = 0
    to_node: bool = False
    from_node: bool = False
    refuses: bool = False

    @classmethod
    def draw(cls, rng: random.Random) -> 'Disturbance':
        """Return one of these kinds, with a share of the connections."""
        return cls(
            share=rng.choice((0.3, 1)),
            refuses=rng.choice((True, False, False)),
            **rng.choice(
                (
                    {'delay_s': rng.uniform(0.05, 0.7)},
                    {'to_node': True},
                    {'from_node': True},
                    {'to_node': True, 'from_node': True},
                )
            ),
        )


@dataclasses.dataclass(eq=False, slots=True)
class _Carried:
    """One connection, as both ends see it; ``draw`` tells if it is harmed."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    draw: float
    pumps: list[asyncio.Task] = dataclasses.field(default_factory=list)
    is_silent: bool = False
    passes_half: bool = False

    def reset(self) -> None:
        for writer in self.writers:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    used = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        used.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class FaultProxy:
    """Listens at one address, and connects to what listens at another."""

    def __init__(self, address: str, target: str, rng: random.Random) -> None:
        """Carry bytes as they come until there is a disturbance."""
        self.address = address
        self._target = target
        self._rng = rng
        self._disturbance = Disturbance()
        self._changed = asyncio.Event()
        self._carried: set[_Carried] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for connections to harm."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._carry, host, int(port))

    def disturb(self, disturbance: Disturbance) -> None:
        """Replace the present disturbance; the default one is none."""
        self._disturbance = disturbance
        self._changed.set()
        self._changed = asyncio.Event()

    def silence(self, passes_half: bool = False) -> None:
        """Silence the connections that are open now, for good.

        With ``passes_half`` each carries half of its next chunk before that.
        """
        for carried in self._carried:
            carried.is_silent = True
            carried.passes_half = passes_half

    def reset_some(self) -> None:
        """Reset a part of the connections."""
        for carried in list(self._carried):
            if self._rng.choice((True, False)):
                carried.reset()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for carried in list(self._carried):
            carried.reset()
            for pump in carried.pumps:
                pump.cancel()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._disturbance.refuses:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(':')
        try:
            node_reader, node_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        carried = _Carried((writer, node_writer), self._rng.random())
        self._carried.add(carried)
        pumps = [
            asyncio.create_task(
                self._pump(carried, reader, node_writer, 'to_node')
            ),
            asyncio.create_task(
                self._pump(carried, node_reader, writer, 'from_node')
            ),
        ]
        carried.pumps.extend(pumps)
        try:
            # The first end that closes ends the connection for the other too.
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            if carried.is_silent:
                await asyncio.wait(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
        carried.reset()
        self._carried.discard(carried)

    async def _pump(
        self,
        carried: _Carried,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            chunk = await reader.read(_CHUNK_BYTES)
            while chunk:
                await self._hold(carried, direction)
                if carried.is_silent:
                    await self._end_in_silence(carried, writer, chunk)
                writer.write(chunk)
                await writer.drain()
                chunk = await reader.read(_CHUNK_BYTES)

    async def _end_in_silence(
        self,
        carried: _Carried,
        writer: asyncio.StreamWriter,
        chunk: bytes,
    ) -> None:
        if carried.passes_half:
            writer.write(chunk[: len(chunk) // 2])
        await asyncio.Event().wait()

    async def _hold(self, carried: _Carried, direction: str) -> None:
        """Wait as long as the present disturbance holds bytes back."""
        while True:
            disturbance = self._disturbance
            if carried.draw >= disturbance.share:
                return
            if not getattr(disturbance, direction):
                await asyncio.sleep(disturbance.delay_s)
                return
            await self._changed.wait()
