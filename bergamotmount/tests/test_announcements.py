"""Tests of announcements that are late, repeated or of an earlier process."""

import unittest

from bergamotmount.forwarding.announcements import (
    Announcement,
    AnnouncementEffect,
    AnnouncementOrder,
)
from bergamotmount.clock import LoopClock


def announcement(
    instance='i-1', process_start_ms=100, sequence=1, is_draining=False
) -> Announcement:
    """Return an announcement of service ``a``."""
    return Announcement(
        instance,
        process_start_ms,
        sequence,
        '10.0.0.1:80',
        'a',
        16,
        is_draining,
        0,
    )


class AnnouncementOrderTest(unittest.TestCase):
    """An announcement that isn't newer must not change the state.

    Otherwise a delayed one would direct requests to an ended process.
    """

    def setUp(self) -> None:
        self.clock = LoopClock()
        self.order = AnnouncementOrder(self.clock)

    def apply(self, *announcements: Announcement) -> list[AnnouncementEffect]:
        """Apply announcements in turn and return their effects."""
        return [self.order.apply(each) for each in announcements]

    def test_next_announcement_of_a_process_renews_it(self):
        """A renewal isn't taken for another start of the server."""
        self.assertEqual(
            self.apply(announcement(), announcement(sequence=2)),
            [AnnouncementEffect.STARTED, AnnouncementEffect.RENEWED],
        )

    def test_repeated_and_reordered_announcements_are_stale(self):
        """An equal or lower sequence number has no effect."""
        self.apply(announcement(sequence=3))
        effects = self.apply(announcement(sequence=3), announcement(sequence=2))
        self.assertEqual(
            effects, [AnnouncementEffect.STALE, AnnouncementEffect.STALE]
        )

    def test_ready_after_draining_is_stale(self):
        """A process that is draining gets no requests again."""
        self.apply(announcement(), announcement(sequence=2, is_draining=True))
        self.assertEqual(
            self.apply(announcement(sequence=3)), [AnnouncementEffect.STALE]
        )

    def test_late_announcement_of_earlier_process_is_stale(self):
        """A high sequence number doesn't make an earlier process current."""
        self.apply(announcement('i-1', 100), announcement('i-2', 200))
        self.assertEqual(
            self.apply(announcement('i-1', 100, 9)), [AnnouncementEffect.STALE]
        )
        self.assertEqual(self.order.current.instance, 'i-2')

    def test_restart_of_an_instance_starts_it(self):
        """The sequence number of a new process may be lower."""
        self.apply(announcement('i-1', 100, 50))
        self.assertEqual(
            self.apply(announcement('i-1', 200, 1)),
            [AnnouncementEffect.STARTED],
        )

    def test_departed_process_stays_departed(self):
        """Only another process of the instance can start after a departure."""
        self.apply(announcement())
        self.assertTrue(self.order.mark_departed('i-1'))
        self.assertEqual(
            self.apply(announcement(sequence=2)), [AnnouncementEffect.STALE]
        )
        self.assertEqual(
            self.apply(announcement(process_start_ms=200)),
            [AnnouncementEffect.STARTED],
        )

    def test_departure_of_another_process_is_ignored(self):
        """A late departure of an earlier process doesn't end the current."""
        self.apply(announcement('i-2', 200))
        self.assertFalse(self.order.mark_departed('i-1'))
