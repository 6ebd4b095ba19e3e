"""What a node tells others about itself."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """Life of a member; within one version the higher state wins."""

    SERVING = 0
    WARMING = 1
    DRAINING = 2
    SUSPECTED = 3
    LEFT = 4


#: States in which a member may be given new work.
ROUTABLE = frozenset((MemberState.SERVING, MemberState.WARMING))

#: States in which a member no longer takes part in heartbeats.
GONE = frozenset((MemberState.LEFT,))


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node and the backend server beside it.

    ``incarnation`` grows with each start of the process, ``version`` with
    each change that the member announces itself. ``address`` is
    ``ip:port`` of the node's peer listener, ``admin`` that of its admin
    listener. ``service`` and ``slots``, the number of requests that the
    backend server works on at once, stay empty until it has announced itself.
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
        """Order of news about one node: the greatest is the newest."""
        return self.incarnation, self.version, self.state

    @property
    def is_routable(self) -> bool:
        """Whether the member's backend server may be given new work."""
        return self.slots > 0 and self.state in ROUTABLE
