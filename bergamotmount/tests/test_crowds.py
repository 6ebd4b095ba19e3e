"""Crowds of callers that don't behave must not end a process (issue 49).

Each test starts a real node with lowered limits and plays one crowd. Callers
stay inside the limits of the policy, each alone; their sum is far over the
memory of the host. The process must stay within it, and serve an ordinary
request while the crowd is still there.
"""

from bergamotmount.tests.crowdfixture import CrowdTestCase
from bergamotmount.tests.crowds import (
    PIECE_BYTES,
    PIECE_PAUSE_S,
    WRITE_BYTES,
    Crowd,
    chunked_body,
    odd_lines,
    short_lines,
    sized_body,
)
from bergamotmount.tools.soak.httpcaller import ask

#: Size of a body, and how many callers send one.
BODY_BYTES = 8 * 1024 * 1024
BODY_CALLERS = 40

LARGE_CHUNK_BYTES = 512 * 1024
LARGE_CHUNKS = 16

TINY_CHUNK_BYTES = 2
TINY_CHUNKS = 200_000
TINY_CHUNK_CALLERS = 32
CHUNKS_PER_PIECE = 2000
CHUNK_PAUSE_S = 0.02

HEAD_CALLERS = 700

#: Requests that a caller sends ahead of the first answer.
REQUESTS_AHEAD = 20
AHEAD_CALLERS = 100


class HeadCrowdTest(CrowdTestCase):
    """A header line of 4 bytes is a tuple and two strings in memory."""

    async def test_short_lines_without_end(self):
        """The head's last line is missing."""
        await self.play(Crowd(HEAD_CALLERS, short_lines(is_whole=False)))

    async def test_odd_lines_without_end(self):
        """Lines have a name and no value; the last one is missing."""
        await self.play(Crowd(HEAD_CALLERS, odd_lines(is_whole=False)))


class SlowServerCrowdTest(CrowdTestCase):
    """Whole requests wait, as the server takes 1.6 s for each."""

    slowdown = 40

    async def test_short_lines(self):
        """Callers send requests ahead of the answers."""
        pieces = short_lines(is_whole=True) * REQUESTS_AHEAD
        await self.play(Crowd(AHEAD_CALLERS, pieces))

    async def test_odd_lines(self):
        """The same, with lines that have no value."""
        pieces = odd_lines(is_whole=True) * REQUESTS_AHEAD
        await self.play(Crowd(AHEAD_CALLERS, pieces))

    async def test_bodies(self):
        """Bodies with a length, as fast as they are read."""
        pieces = sized_body(BODY_BYTES, True, WRITE_BYTES)
        await self.play(Crowd(BODY_CALLERS, pieces))

    async def test_bodies_by_pieces(self):
        """Bodies with a length, piece by piece."""
        pieces = sized_body(BODY_BYTES, True, PIECE_BYTES)
        await self.play(Crowd(BODY_CALLERS, pieces, PIECE_PAUSE_S))

    async def test_large_chunks(self):
        """Bodies in large chunks."""
        pieces = chunked_body(LARGE_CHUNK_BYTES, LARGE_CHUNKS, True, 1)
        await self.play(Crowd(BODY_CALLERS, pieces))

    async def test_tiny_chunks(self):
        """Bodies in chunks of 2 bytes."""
        pieces = chunked_body(
            TINY_CHUNK_BYTES, TINY_CHUNKS, True, CHUNKS_PER_PIECE
        )
        # All come at the same time, rather than one after the other.
        await self.play(Crowd(TINY_CHUNK_CALLERS, pieces, CHUNK_PAUSE_S))


class BodyCrowdTest(CrowdTestCase):
    """Bodies stop just short of their end; their callers stay."""

    async def test_bodies(self):
        """Bodies with a length, as fast as they are read."""
        pieces = sized_body(BODY_BYTES, False, WRITE_BYTES)
        await self.play(Crowd(BODY_CALLERS, pieces))

    async def test_bodies_by_pieces(self):
        """Bodies with a length, piece by piece."""
        pieces = sized_body(BODY_BYTES, False, PIECE_BYTES)
        await self.play(Crowd(BODY_CALLERS, pieces, PIECE_PAUSE_S))

    async def test_large_chunks(self):
        """Bodies in large chunks."""
        pieces = chunked_body(LARGE_CHUNK_BYTES, LARGE_CHUNKS, False, 1)
        await self.play(Crowd(BODY_CALLERS, pieces))

    async def test_tiny_chunks(self):
        """Bodies in chunks of 2 bytes: an object each."""
        pieces = chunked_body(
            TINY_CHUNK_BYTES, TINY_CHUNKS, False, CHUNKS_PER_PIECE
        )
        await self.play(Crowd(TINY_CHUNK_CALLERS, pieces))


class ManyConnectionsTest(CrowdTestCase):
    """More connections than the process may have descriptors."""

    max_fds = 300

    async def test_idle_connections(self):
        """They send nothing at all."""
        await self.play(Crowd(HEAD_CALLERS, []))

    async def test_heads_without_end(self):
        """They stop in the middle of a head."""
        await self.play(Crowd(HEAD_CALLERS, [b'GET / HTTP/1.1\r\nHost:']))


class CalmTest(CrowdTestCase):
    """A single request inside the limits is served, whatever its form.

    The limits are those of the users' hosts.
    """

    memory_mb = 300
    max_fds = 4100
    max_body_bytes = 64 * 1024 * 1024

    async def assert_answered(self, pieces) -> None:
        """Send one request; check that it is answered with success."""
        packed = b''.join(pieces)
        response = await ask(self.node.addresses.callers, packed, 20)
        self.assertIsNotNone(response)
        self.assertEqual(response.status, 200)
        self.assert_within_limits(self.node)

    async def test_head_of_short_lines(self):
        """A head of just under 16,384 bytes, in 3,230 lines."""
        await self.assert_answered(short_lines(True, b'a:b\r\n', 3230))

    async def test_one_long_line(self):
        """A header of 15.8 kB."""
        line = b'a:%b\r\n' % (b'b' * 15_800)
        await self.assert_answered(short_lines(True, line, 1))

    async def test_body(self):
        """The largest body, with a length."""
        pieces = sized_body(self.max_body_bytes, True, WRITE_BYTES)
        await self.assert_answered(pieces)

    async def test_large_chunks(self):
        """The largest body, in chunks of 4 MB."""
        await self.assert_answered(chunked_body(4 * 1024 * 1024, 16, True, 1))

    async def test_tiny_chunks(self):
        """A body of 800 kB in chunks of 2 bytes."""
        await self.assert_answered(
            chunked_body(TINY_CHUNK_BYTES, 400_000, True, CHUNKS_PER_PIECE)
        )
