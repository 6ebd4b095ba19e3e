"""Ordering of the announcements of backend servers.

Announcements may arrive late, twice or out of order, and one that a network
partition delayed may come from a process that ended long ago. A process is
identified by its instance and its start time; the sequence number orders the
announcements of one process. A process that has announced its departure gets
no new requests, whatever it announces later.

A departure may also be stated for an instance, without a start time. It may be
as late as an announcement, so it may come from an earlier process of that
instance. A process that still announces itself when no announcement from before
the departure can be on the way any more has not departed.
"""

import dataclasses
import enum
from typing import TypeVar

from bergamotmount.clock import Clock

_KeyType = TypeVar('_KeyType')
_FactType = TypeVar('_FactType')

#: Number of departed processes whose late announcements are still recognised
#: as stale.
MAX_DEPARTED_PROCESSES = 64


#: Time after which an announcement has arrived or is lost.
MAX_ANNOUNCEMENT_DELAY_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """State that a backend server announces.

    ``process_start_ms`` is the start of the process in Unix milliseconds,
    ``remaining_slow_start_ms`` the remaining time of its slow start.
    """

    instance: str
    process_start_ms: int
    sequence: int
    address: str
    service: str
    slots: int
    is_draining: bool
    remaining_slow_start_ms: float

    @property
    def process(self) -> tuple[str, int]:
        """Identifies the process that makes the announcement."""
        return self.instance, self.process_start_ms


class AnnouncementEffect(enum.StrEnum):
    """How an announcement changes the state of the local server.

    ``RETURNED`` is one of an instance whose departure was stated: the server
    has to confirm that it serves.
    """

    STALE = 'stale'
    RENEWED = 'renewed'
    STARTED = 'started'
    RETURNED = 'returned'
    DRAINING = 'draining'


class AnnouncementOrder:
    """Keeps the newest announcement of the server on this host."""

    def __init__(self, clock: Clock) -> None:
        """Start without an announcement."""
        self.current: Announcement | None = None
        self._clock = clock
        #: Processes that announced their own departure, oldest first.
        self._departed: dict[tuple[str, int], None] = {}
        #: When departures were stated: by process, or by instance if none of
        #: its processes was current then.
        self._stated_ms: dict[tuple[str, int] | str, float] = {}

    def apply(self, announcement: Announcement) -> AnnouncementEffect:
        """Apply an announcement and return its effect."""
        current = self.current
        if self.has_departed(announcement):
            return AnnouncementEffect.STALE
        if current is not None and _is_outdated(announcement, current):
            return AnnouncementEffect.STALE
        self.current = announcement
        if announcement.is_draining:
            _keep_newest(self._departed, announcement.process, None)
            return AnnouncementEffect.DRAINING
        if self._was_stated(announcement):
            return AnnouncementEffect.RETURNED
        is_same = (
            current is not None
            and current.process == announcement.process
            and current.address == announcement.address
        )
        return (
            AnnouncementEffect.RENEWED
            if is_same
            else AnnouncementEffect.STARTED
        )

    def has_departed(self, announcement: Announcement) -> bool:
        """Return whether the process that made an announcement has left."""
        if announcement.process in self._departed:
            return True
        stated_ms = self._stated_ms.get(announcement.process)
        if stated_ms is None:
            return False
        return self._clock.now_ms() < stated_ms + MAX_ANNOUNCEMENT_DELAY_MS

    def mark_left(self, instance: str) -> bool:
        """Record that the current process said itself that it leaves.

        Return whether it is one of this instance.
        """
        current = self.current
        is_current = current is not None and current.instance == instance
        if is_current:
            _keep_newest(self._departed, current.process, None)
        return is_current

    def mark_departed(self, instance: str) -> bool:
        """Record that a departure was stated for an instance.

        Return whether it is that of the current process.
        """
        current = self.current
        is_current = current is not None and current.instance == instance
        key = current.process if is_current else instance
        if key not in self._stated_ms:
            _keep_newest(self._stated_ms, key, self._clock.now_ms())
        return is_current

    def confirm(self, announcement: Announcement) -> None:
        """Record that a process serves, whatever was stated before."""
        self._stated_ms.pop(announcement.process, None)
        self._stated_ms.pop(announcement.instance, None)

    def _was_stated(self, announcement: Announcement) -> bool:
        return (
            announcement.process in self._stated_ms
            or announcement.instance in self._stated_ms
        )


def _keep_newest(
    recorded: dict[_KeyType, _FactType], key: _KeyType, fact: _FactType
) -> None:
    """Record a fact about a process; forget the oldest beyond the maximum."""
    recorded[key] = fact
    if len(recorded) > MAX_DEPARTED_PROCESSES:
        recorded.pop(next(iter(recorded)))


def _is_outdated(announcement: Announcement, current: Announcement) -> bool:
    if announcement.process == current.process:
        return announcement.sequence <= current.sequence
    return announcement.process_start_ms < current.process_start_ms
