"""Member table: nodes and their services, merged from gossiped updates.

The newest update about a node wins, by incarnation, then version, then state.
A node that is reported as suspected or gone refutes this by announcing a
higher version::

    members = Members(clock, local)
    members.merge(update)
    for server in members.routable('billhouse'):
        ...
"""

import dataclasses
from collections.abc import Iterable

from bergamotmount.clock import Clock
from bergamotmount.fieldchecks import MAX_VERSION
from bergamotmount.member import GONE, Member, MemberState
from bergamotmount.tabledigest import digest_of

#: How long a gone node stays in the table, to be probed in case it comes back.
TOMBSTONE_RETENTION_MS = 2 * 60 * 60 * 1000


class Members:
    """All members known to this node, including itself."""

    def __init__(self, clock: Clock, local: Member) -> None:
        """Start with the local member only."""
        self.member_by_node: dict[str, Member] = {local.node: local}
        self.local_node = local.node
        self.digest = digest_of(local)
        self._clock = clock
        self._routable_by_service: dict[str, list[Member]] = {}
        self._alive: list[Member] | None = None
        self._changed_ms = clock.now_ms()
        self._gone_ms_by_node: dict[str, float] = {}
        self._departed: set[str] = set()

    @property
    def local(self) -> Member:
        """The member that describes this node."""
        return self.member_by_node[self.local_node]

    @property
    def unchanged_ms(self) -> float:
        """Time since the last change of the table, in milliseconds."""
        return self._clock.now_ms() - self._changed_ms

    @property
    def maybe_alive(self) -> int:
        """Number of members that haven't said that they leave.

        Those that are marked as gone count: they may only be cut off.
        """
        return len(self.member_by_node) - len(self._departed)

    def announce(
        self,
        state: MemberState,
        service: str = '',
        slots: int = 0,
    ) -> Member:
        """Update the local member to a new version and return it."""
        local = self.local
        changed = dataclasses.replace(
            local,
            version=local.version + 1,
            state=state,
            service=service or local.service,
            slots=slots,
        )
        self._store(changed)
        return changed

    def merge(self, update: Member) -> Member | None:
        """Apply an update.

        Return the member to disseminate, ``None`` if the update is outdated.
        """
        known = self.member_by_node.get(update.node)
        if known is not None and update.freshness <= known.freshness:
            return None
        if update.node == self.local_node:
            return self._refute(update)
        self._record_departure(known, update)
        self._store(update)
        return update

    def learn(self, members: Iterable[Member]) -> None:
        """Add the members of a directory that aren't known yet.

        The directory doesn't tell whether they are alive; heartbeats find out.
        """
        for member in members:
            if member.node != self.local_node:
                self.merge(member)

    def suspect(self, node: str) -> Member | None:
        """Mark a node as suspected; return the update, if it is a change."""
        return self._degrade(node, MemberState.SUSPECTED)

    def mark_gone(self, node: str) -> Member | None:
        """Mark a node as gone; return the update, if it is a change."""
        return self._degrade(node, MemberState.LEFT)

    def is_in_remote_domain(self, address: str) -> bool:
        """Return whether an address is in another failure domain."""
        return any(
            member.address == address
            and member.failure_domain != self.local.failure_domain
            for member in self.member_by_node.values()
        )

    def routable(self, service: str) -> list[Member]:
        """Return the members of a service that accept new requests."""
        servers = self._routable_by_service.get(service)
        if servers is None:
            servers = [
                member
                for member in self.member_by_node.values()
                if member.service == service and member.is_routable
            ]
            self._routable_by_service[service] = servers
        return servers

    def first_routable(self, service: str) -> Member | None:
        """Return the first of these members by name, ``None`` without any.

        All nodes that know the same members agree on it.
        """
        return min(
            self.routable(service), key=lambda each: each.node, default=None
        )

    def alive(self) -> list[Member]:
        """Return all members that aren't gone, sorted by node name."""
        if self._alive is None:
            nodes = sorted(self.member_by_node)
            members = [self.member_by_node[node] for node in nodes]
            self._alive = [each for each in members if each.state not in GONE]
        return self._alive

    def gone(self) -> list[Member]:
        """Return the gone members that are still in the table."""
        nodes = sorted(self._gone_ms_by_node)
        return [self.member_by_node[node] for node in nodes]

    def services(self) -> set[str]:
        """Return the services that any member serves."""
        members = self.member_by_node.values()
        return {member.service for member in members if member.service}

    def remove_expired(self) -> None:
        """Remove members whose tombstones have expired."""
        oldest_ms = self._clock.now_ms() - TOMBSTONE_RETENTION_MS
        for node, gone_ms in list(self._gone_ms_by_node.items()):
            if gone_ms < oldest_ms:
                self._gone_ms_by_node.pop(node)
                self.member_by_node.pop(node)
                self._departed.discard(node)

    def _record_departure(self, known: Member | None, update: Member) -> None:
        """Record whether a member said itself that it leaves.

        Other nodes that mark it as gone don't raise its version.
        """
        if update.state not in GONE:
            self._departed.discard(update.node)
        elif known is not None and update.freshness[:2] > known.freshness[:2]:
            self._departed.add(update.node)

    def _refute(self, update: Member) -> Member:
        local = self.local
        incarnation = max(local.incarnation, update.incarnation)
        version = max(local.version, update.version) + 1
        if version > MAX_VERSION:
            incarnation, version = min(incarnation + 1, MAX_VERSION), 0
        refuted = dataclasses.replace(
            local, incarnation=incarnation, version=version
        )
        self._store(refuted)
        return refuted

    def _degrade(self, node: str, state: MemberState) -> Member | None:
        known = self.member_by_node.get(node)
        if known is None or known.state >= state or node == self.local_node:
            return None
        degraded = dataclasses.replace(known, state=state)
        self._store(degraded)
        return degraded

    def _store(self, member: Member) -> None:
        known = self.member_by_node.get(member.node)
        if known is not None:
            self.digest ^= digest_of(known)
        self.digest ^= digest_of(member)
        self.member_by_node[member.node] = member
        self._changed_ms = self._clock.now_ms()
        self._routable_by_service.clear()
        self._alive = None
        if member.state in GONE:
            self._gone_ms_by_node[member.node] = self._clock.now_ms()
        else:
            self._gone_ms_by_node.pop(member.node, None)
