"""What a node holds for others than its callers is bounded too (issue 49).

The crowds come from the backend server, from callers that don't read, and to
the addresses for other nodes, operators and the platform.
"""

import asyncio
import resource

from bergamotmount.tests.crowdfixture import CrowdTestCase
from bergamotmount.tests.crowds import (
    WRITE_BYTES,
    Crowd,
    frame_without_end,
    plain_request,
    short_lines,
    sized_body,
)
from bergamotmount.tools.soak.soakrun import node_breaches
from bergamotmount.tools.soak.standinserver import StandinServer, _ServerSide

CALLERS = 60

#: Lines of the head of a response: 240 kB, short of what a head may have.
RESPONSE_LINES = 40_000
RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\n' + b'ab:c\r\n' * RESPONSE_LINES

#: Size of a response, and of a body to an address of operators.
LARGE_BYTES = 8 * 1024 * 1024

#: Size of a frame between nodes, just short of the most that it may have.
FRAME_BYTES = 3840 * 1024
PEERS = 90

#: Bodies that a message between nodes holds, and how many are sent at once.
BODY_BYTES = 3 * 1024 * 1024
LINK_CALLERS = 100

#: Time in which two nodes find each other.
FIND_S = 3

HEAD_CALLERS = 700
SLOTS = 200

#: Descriptors that the system leaves to the process in the midst of its work.
FEW_FDS = 48


class _FillingSide(_ServerSide):
    """Answers the requests of a crowd in its own way, others as usual."""

    async def _answer(self, request: dict[str, str]) -> None:
        if request.get('X-Attempt-Id') == 'crowd':
            self._fill()
        else:
            await super()._answer(request)

    def _fill(self) -> None:
        """Answer with a head that doesn't end."""
        self.transport.write(RESPONSE_HEAD)


class _LargeSide(_FillingSide):
    """Answers the requests of a crowd with large bodies."""

    def _fill(self) -> None:
        head = (
            'HTTP/1.1 200 OK\r\nX-Attempt-Id: crowd\r\n'
            'X-Response-Stamp: i-node-0.crowd\r\n'
            f'Content-Length: {LARGE_BYTES}\r\n\r\n'
        )
        self.transport.write(head.encode())
        self.transport.write(b'x' * LARGE_BYTES)


class _FillingServer(StandinServer):
    """A server with many slots."""

    side_type = _FillingSide

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.slots = SLOTS

    def make_connection(self) -> _ServerSide:
        return self.side_type(self)


class _LargeServer(_FillingServer):
    side_type = _LargeSide


CROWD_REQUEST = plain_request('crowd')


class ServerHeadsTest(CrowdTestCase):
    """Heads without end of a server: a line was a tuple and two strings."""

    server_type = _FillingServer

    async def test_heads_without_end(self):
        """Each is short of what a head may have; their sum isn't."""
        await self.play(Crowd(CALLERS, [CROWD_REQUEST]))


class UnreadResponsesTest(CrowdTestCase):
    """Callers ask for large answers, and don't read them."""

    server_type = _LargeServer

    async def test_unread_responses(self):
        """What the node can't write, it holds."""
        await self.play(Crowd(CALLERS, [CROWD_REQUEST], reads=False))


class OperatorCrowdTest(CrowdTestCase):
    """The other addresses took bodies of 64 MB, and as many connections."""

    async def test_bodies_at_control(self):
        """Bodies stop just short of their end."""
        pieces = sized_body(LARGE_BYTES, False, WRITE_BYTES)
        await self.play(Crowd(CALLERS, pieces), self.node.addresses.control)

    async def test_bodies_at_readiness(self):
        """The same, at the address that the platform asks."""
        pieces = sized_body(LARGE_BYTES, False, WRITE_BYTES)
        await self.play(Crowd(CALLERS, pieces), self.node.addresses.ready)

    async def test_heads_at_metrics(self):
        """Heads without end, at the address of the metrics."""
        host = self.node.peer_address.rpartition(':')[0]
        address = f'{host}:{self.node.addresses.peer_ports[0] + 1}'
        await self.play(
            Crowd(HEAD_CALLERS, short_lines(is_whole=False)), address
        )


class PeerCrowdTest(CrowdTestCase):
    """The address for other nodes takes bytes from anybody."""

    async def test_frames_without_end(self):
        """Frames stop just short of their end."""
        await self.play(
            Crowd(PEERS, frame_without_end(FRAME_BYTES)),
            self.node.peer_address,
        )


class LinkCrowdTest(CrowdTestCase):
    """Bodies cross the link to a node whose server is slow."""

    slowdown = 40

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.far = self.make_node('node-1', 'board')
        await self.start_with_server(self.far)
        # The nodes find each other.
        await asyncio.sleep(FIND_S)

    async def asyncTearDown(self):
        await self.end_node(self.far)
        await super().asyncTearDown()

    async def test_whole_bodies(self):
        """Both nodes hold them until the server has answered."""
        pieces = sized_body(BODY_BYTES, True, WRITE_BYTES, b'/far/1')
        await self.play(Crowd(LINK_CALLERS, pieces))
        self.assert_within_limits(self.far)
        self.assertEqual(node_breaches(self.far), [])


class FewDescriptorsTest(CrowdTestCase):
    """The system has no descriptor left when a connection is accepted."""

    async def test_no_descriptor_left(self):
        """The node goes on, and serves once callers have left."""
        limits = (FEW_FDS, FEW_FDS)
        resource.prlimit(self.node.pid, resource.RLIMIT_NOFILE, limits)
        crowd = Crowd(2 * FEW_FDS, [])
        await crowd.send(self.node.addresses.callers)
        crowd.close()
        await self.assert_serves()
        self.assert_within_limits(self.node)
