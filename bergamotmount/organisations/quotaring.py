"""Quota ring: which node owns the quota of an organisation.

The owner is the first node on a ring of hashes at or behind the hash of the
organisation's name. Nodes that see the same members agree on it. A node that
is draining or suspected owns nothing.

Load pattern: a failure domain is cut off. Each side sees some of the members
and has owners of its own. An owner grants the part of the quota that its side
of the members stands for, so the sides together stay within the quota::

    ring = QuotaRing(members)
    ring.owner_of('acme')    # Member(node='n-17', ...)
    ring.share               # 0.75 with a quarter of the members cut off
"""

import bisect
from collections.abc import Callable

from bergamotmount.hashing import hash64
from bergamotmount.member import ROUTABLE, Member, MemberState
from bergamotmount.membership import Members


_NO_OWNERS: list[Member] = []


class QuotaRing:
    """Owners of quotas, as one node sees them."""

    def __init__(
        self, members: Members, is_directory_read: Callable[[], bool]
    ) -> None:
        """Follow the changes of ``members``.

        A node that has just started knows only itself. It owns nothing until
        it has found others, or ``is_directory_read`` tells that there are none.
        """
        self._members = members
        self._is_directory_read = is_directory_read
        self._alive: list[Member] | None = None
        self._hashes: list[int] = []
        self._owners: list[Member] = []
        self._reachable = 0

    @property
    def share(self) -> float:
        """Share of all members that may be alive with which there is contact.

        Members that left by themselves don't count; members that fell silent
        do, as they may go on behind a partition.
        """
        self._refresh()
        return self._reachable / max(self._members.maybe_alive, 1)

    @property
    def owners(self) -> list[Member]:
        """The members that own quotas; another list after each change.

        It is empty while this node has found no other.
        """
        self._refresh()
        return self._owners if self._has_joined else _NO_OWNERS

    def owner_of(self, organisation: str) -> Member | None:
        """Return the owner of a quota, ``None`` without any candidate."""
        owners = self.owners
        if not owners:
            return None
        index = bisect.bisect_left(self._hashes, hash64(organisation))
        return owners[index % len(owners)]

    def is_local(self, organisation: str) -> bool:
        """Return whether this node owns the quota of an organisation."""
        owner = self.owner_of(organisation)
        return owner is not None and owner.node == self._members.local_node

    @property
    def _has_joined(self) -> bool:
        return len(self._members.alive()) > 1 or self._is_directory_read()

    def _refresh(self) -> None:
        alive = self._members.alive()
        if alive is self._alive:
            return
        self._alive = alive
        self._owners = sorted(
            (member for member in alive if member.state in ROUTABLE),
            key=_hash_of,
        )
        self._hashes = [_hash_of(member) for member in self._owners]
        self._reachable = sum(
            member.state is not MemberState.SUSPECTED for member in alive
        )


def _hash_of(member: Member) -> int:
    return hash64(member.node)
