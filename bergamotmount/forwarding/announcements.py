"""Ordering of the announcements of backend servers.

Announcements may arrive late, twice or out of order, and one that a network
partition delayed may come from a process that ended long ago. A process is
identified by its instance and its start time; the sequence number orders the
announcements of one process. A process that has announced its departure gets
no new requests, whatever it announces later.
"""

import collections
import dataclasses
import enum

#: Number of departed processes whose late announcements are still recognised
#: as stale.
MAX_DEPARTED_PROCESSES = 64


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


class AnnouncementEffect(enum.StrEnum):
    """How an announcement changes the state of the local server."""

    STALE = 'stale'
    RENEWED = 'renewed'
    STARTED = 'started'
    DRAINING = 'draining'


class AnnouncementOrder:
    """Keeps the newest announcement of the server on this host."""

    def __init__(self) -> None:
        """Start without an announcement."""
        self.current: Announcement | None = None
        self._departed: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=MAX_DEPARTED_PROCESSES,
        )

    def apply(self, announcement: Announcement) -> AnnouncementEffect:
        """Apply an announcement and return its effect."""
        current = self.current
        if self.has_departed(announcement):
            return AnnouncementEffect.STALE
        if current is not None and _is_outdated(announcement, current):
            return AnnouncementEffect.STALE
        self.current = announcement
        if announcement.is_draining:
            self._departed.append(
                (announcement.instance, announcement.process_start_ms)
            )
            return AnnouncementEffect.DRAINING
        is_same = (
            current is not None
            and (current.instance, current.process_start_ms)
            == (announcement.instance, announcement.process_start_ms)
            and current.address == announcement.address
        )
        return (
            AnnouncementEffect.RENEWED
            if is_same
            else AnnouncementEffect.STARTED
        )

    def has_departed(self, announcement: Announcement) -> bool:
        """Return whether the process that made an announcement has left."""
        process = announcement.instance, announcement.process_start_ms
        return process in self._departed

    def mark_departed(self, instance: str) -> bool:
        """Record a departure; return whether it is of the current process."""
        current = self.current
        if current is None or current.instance != instance:
            return False
        if not self.has_departed(current):
            self._departed.append((current.instance, current.process_start_ms))
        return True


def _is_outdated(announcement: Announcement, current: Announcement) -> bool:
    if (
        announcement.instance == current.instance
        and announcement.process_start_ms == current.process_start_ms
    ):
        return announcement.sequence <= current.sequence
    return announcement.process_start_ms < current.process_start_ms
