"""Description of a node as gossiped between nodes."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """State of a member; within one version the higher value wins."""

    SERVING = 0
    WARMING = 1
    DRAINING = 2
    SUSPECTED = 3
    LEFT = 4


#: States in which a member accepts new requests.
ROUTABLE = frozenset((MemberState.SERVING, MemberState.WARMING))

#: States in which a member no longer takes part in heartbeats.
GONE = frozenset((MemberState.LEFT,))


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node and the backend server beside it.

    ``incarnation`` grows with each start of the process, ``version`` with
    each change that the member announces about itself. ``address`` is
    ``ip:port`` of the node's peer listener, ``admin`` that of its admin
    listener. ``slots`` is the number of requests that the backend server runs
    concurrently; it is 0 and ``service`` empty until the backend server has
    announced itself.
    """

    node: str
    address: str
    region: str
    failure_domain: str
    incarnation: int
    version: int = 0
    state: MemberState = MemberState.SERVING
    service: str = ''
    slots: int = 0
    admin: str = ''

    @property
    def freshness(self) -> tuple[int, int, int]:
        """Sort key of updates about one node: the greatest is the newest."""
        return self.incarnation, self.version, self.state

    @property
    def is_routable(self) -> bool:
        """Whether the member's backend server accepts new requests."""
        return self.slots > 0 and self.state in ROUTABLE
