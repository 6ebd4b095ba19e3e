"""Member table: who serves what, merged from the news of all nodes.

The newest news about a node wins, by incarnation, then version, then state.
A node that hears itself called suspected or gone answers with a higher
version, so a false suspicion is taken back by the suspect itself::

    members = Members(clock, own)
    members.merge(news)
    for server in members.routable('billhouse'):
        ...
"""

import dataclasses
from collections.abc import Iterable

from bergamotmount.clock import Clock
from bergamotmount.hashing import hash64
from bergamotmount.member import GONE, Member, MemberState

#: How long a node that is gone stays known, so that it is found again.
TOMBSTONE_MS = 2 * 60 * 60 * 1000

_DIGEST_MASK = (1 << 63) - 1


class Members:
    """All members that this node has heard of, itself included."""

    def __init__(self, clock: Clock, own: Member) -> None:
        """Know only the own node."""
        self.member_by_node: dict[str, Member] = {own.node: own}
        self.own_node = own.node
        self.digest = _digest_of(own)
        self._clock = clock
        self._routable_by_service: dict[str, list[Member]] = {}
        self._alive: list[Member] | None = None
        self._gone_ms_by_node: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """The member of this node."""
        return self.member_by_node[self.own_node]

    def announce(
        self,
        state: MemberState,
        service: str = '',
        slots: int = 0,
    ) -> Member:
        """Change what this node tells of itself and return it."""
        own = self.own
        changed = dataclasses.replace(
            own,
            version=own.version + 1,
            state=state,
            service=service or own.service,
            slots=slots,
        )
        self._put(changed)
        return changed

    def merge(self, news: Member) -> Member | None:
        """Take over news; return the member to pass on, ``None`` if old."""
        known = self.member_by_node.get(news.node)
        if known is not None and news.freshness <= known.freshness:
            return None
        if news.node == self.own_node:
            return self._refute(news)
        self._put(news)
        return news

    def suspect(self, node: str) -> Member | None:
        """Mark a silent node; return the news to spread, if it is any."""
        return self._degrade(node, MemberState.SUSPECTED)

    def mark_gone(self, node: str) -> Member | None:
        """Mark a node as gone; return the news to spread, if it is any."""
        return self._degrade(node, MemberState.LEFT)

    def is_far(self, address: str) -> bool:
        """Return whether an address is in another failure domain."""
        return any(
            member.address == address
            and member.failure_domain != self.own.failure_domain
            for member in self.member_by_node.values()
        )

    def routable(self, service: str) -> list[Member]:
        """Return the servers of a service that may be given work."""
        found = self._routable_by_service.get(service)
        if found is None:
            found = [
                member
                for member in self.member_by_node.values()
                if member.service == service and member.is_routable
            ]
            self._routable_by_service[service] = found
        return found

    def alive(self) -> list[Member]:
        """Return all members that aren't gone, in order of their names."""
        if self._alive is None:
            nodes = sorted(self.member_by_node)
            members = [self.member_by_node[node] for node in nodes]
            self._alive = [each for each in members if each.state not in GONE]
        return self._alive

    def gone(self) -> list[Member]:
        """Return members that are gone but not yet forgotten."""
        nodes = sorted(self._gone_ms_by_node)
        return [self.member_by_node[node] for node in nodes]

    def services(self) -> set[str]:
        """Return the services that any member serves."""
        members = self.member_by_node.values()
        return {member.service for member in members if member.service}

    def forget_old(self) -> None:
        """Drop members that have been gone for long."""
        oldest_ms = self._clock.now_ms() - TOMBSTONE_MS
        for node, gone_ms in list(self._gone_ms_by_node.items()):
            if gone_ms < oldest_ms:
                self._gone_ms_by_node.pop(node)
                self.member_by_node.pop(node)

    def _refute(self, news: Member) -> Member:
        own = self.own
        refuted = dataclasses.replace(
            own,
            incarnation=max(own.incarnation, news.incarnation),
            version=max(own.version, news.version) + 1,
        )
        self._put(refuted)
        return refuted

    def _degrade(self, node: str, state: MemberState) -> Member | None:
        known = self.member_by_node.get(node)
        if known is None or known.state >= state or node == self.own_node:
            return None
        degraded = dataclasses.replace(known, state=state)
        self._put(degraded)
        return degraded

    def _put(self, member: Member) -> None:
        known = self.member_by_node.get(member.node)
        if known is not None:
            self.digest ^= _digest_of(known)
        self.digest ^= _digest_of(member)
        self.member_by_node[member.node] = member
        self._routable_by_service.clear()
        self._alive = None
        if member.state in GONE:
            self._gone_ms_by_node[member.node] = self._clock.now_ms()
        else:
            self._gone_ms_by_node.pop(member.node, None)


def find_fingers(own_node: str, alive: Iterable[Member]) -> list[Member]:
    """Return the members that a node exchanges heartbeats with.

    Members form a ring by the hash of their names. The fingers are those at
    distance 1, 2, 4 and so on, so their number grows with the logarithm of
    the ring, and so does the number of hops that news takes to all.
    """
    ring = sorted(alive, key=lambda member: hash64(member.node))
    nodes = [member.node for member in ring]
    if own_node not in nodes:
        return ring[:1]
    position = nodes.index(own_node)
    fingers = []
    distance = 1
    while distance < len(ring):
        fingers.append(ring[(position + distance) % len(ring)])
        distance *= 2
    return fingers


def _digest_of(member: Member) -> int:
    if member.state in GONE:
        return 0
    text = f'{member.node} {member.freshness}'
    return hash64(text) & _DIGEST_MASK
