"""Announcements of backend servers: which one is the newest.

Announcements may come late, twice or out of order, and one that was held up
by a cut may come from a process that is long gone. A process is told apart by
its instance and the time of its start; within one process the sequence number
tells which announcement is newer. A process that has said that it leaves gets
no new work any more, whatever comes later.
"""

import collections
import dataclasses
import enum

#: Departed processes that are remembered against late announcements.
REMEMBERED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself.

    ``born_ms`` is the start of the process in Unix milliseconds, ``cold_ms``
    how much longer it stays slow after its start.
    """

    instance: str
    born_ms: int
    sequence: int
    address: str
    service: str
    slots: int
    is_draining: bool
    cold_ms: float


class Verdict(enum.StrEnum):
    """What an announcement changes."""

    STALE = 'stale'
    RENEWED = 'renewed'
    STARTED = 'started'
    DRAINING = 'draining'


class AnnouncementOrder:
    """Orders the announcements of the servers on one host."""

    def __init__(self) -> None:
        """Know no server."""
        self.current: Announcement | None = None
        self._departed: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=REMEMBERED,
        )

    def take(self, news: Announcement) -> Verdict:
        """Take an announcement and return what it changes."""
        known = self.current
        if (news.instance, news.born_ms) in self._departed:
            return Verdict.STALE
        if known is not None and _is_older(news, known):
            return Verdict.STALE
        self.current = news
        if news.is_draining:
            self._departed.append((news.instance, news.born_ms))
            return Verdict.DRAINING
        is_same = (
            known is not None
            and (known.instance, known.born_ms) == (news.instance, news.born_ms)
            and known.address == news.address
        )
        return Verdict.RENEWED if is_same else Verdict.STARTED

    def depart(self, instance: str) -> bool:
        """Note that a process leaves; return whether it was the newest."""
        known = self.current
        if known is None or known.instance != instance:
            return False
        self._departed.append((known.instance, known.born_ms))
        return True


def _is_older(news: Announcement, known: Announcement) -> bool:
    if news.instance == known.instance and news.born_ms == known.born_ms:
        return news.sequence <= known.sequence
    return news.born_ms < known.born_ms
