"""Ring of members: with whom a node exchanges heartbeats and updates.

Members form a ring ordered by the hash of their node names. The fingers of a
node are the members at distance 1, 2, 4 and so on. An update travels along
fingers as in a broadcast over a Chord ring: its origin sends it to all
fingers, and a node at distance ``d`` behind the sender passes it on to its own
fingers nearer than ``d``. While all nodes see the same ring, an update reaches
each of them after at most log2(n) hops. Nodes receive it once; where the size
of the ring isn't a power of two, some receive it twice::

    ring = Ring('node-1', members.alive())
    for finger in ring.forward_targets('node-7'):
        ...
"""

from collections.abc import Iterable

from bergamotmount.hashing import hash64
from bergamotmount.member import Member


class Ring:
    """The alive members as one of them sees them."""

    def __init__(self, local_node: str, alive: Iterable[Member]) -> None:
        """Order the members; ``local_node`` may be missing among them."""
        members = sorted(alive, key=lambda member: hash64(member.node))
        self._size = len(members)
        self._position_by_node = {
            member.node: position for position, member in enumerate(members)
        }
        self._local_position = self._position_by_node.get(local_node)
        self.finger_by_distance = self._find_fingers(members)

    @property
    def fingers(self) -> list[Member]:
        """The members that this node sends heartbeats to, nearest first."""
        return list(self.finger_by_distance.values())

    def forward_targets(self, sender: str) -> list[Member]:
        """Return the fingers to which an update from ``sender`` is passed on.

        An update that didn't come along a finger, for example from a peer
        behind a healed partition, goes to all fingers.
        """
        distance = self._distance_from(sender)
        is_from_finger = distance > 0 and distance & (distance - 1) == 0
        limit = distance if is_from_finger else self._size
        return [
            finger
            for finger_distance, finger in self.finger_by_distance.items()
            if finger_distance < limit and finger.node != sender
        ]

    def _distance_from(self, node: str) -> int:
        """Return the distance behind a node, 0 if it isn't in the ring."""
        position = self._position_by_node.get(node)
        if position is None or self._local_position is None:
            return 0
        return (self._local_position - position) % self._size

    def _find_fingers(self, members: list[Member]) -> dict[int, Member]:
        if self._local_position is None:
            return dict(enumerate(members[:1], start=1))
        fingers = {}
        distance = 1
        while distance < self._size:
            index = (self._local_position + distance) % self._size
            fingers[distance] = members[index]
            distance *= 2
        return fingers
