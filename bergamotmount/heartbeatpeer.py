"""State of the heartbeat exchange with one node."""

import dataclasses
import math

from bergamotmount.member import Member
from bergamotmount.messages import Heartbeat
from bergamotmount.tablesync import SyncState


@dataclasses.dataclass(slots=True)
class HeartbeatPeer:
    """What is known of one node that heartbeats are exchanged with.

    ``update_by_node`` are membership updates to send to it, ``round_trip_ms``
    is the time that its latest reply took, ``None`` before the first.
    """

    address: str
    received_ms: float
    sync: SyncState
    round_trip_ms: float | None = None
    update_by_node: dict[str, Member] = dataclasses.field(default_factory=dict)

    def record_received(self, heartbeat: Heartbeat, now_ms: float) -> None:
        """Record that a heartbeat has arrived, and how long its way was."""
        self.received_ms = now_ms
        sent_ms = heartbeat.echoed_ms
        if sent_ms is not None and sent_ms <= now_ms:
            self.round_trip_ms = now_ms - sent_ms

    def queue_if_newer(self, known: Member, claimed: Member) -> None:
        """Queue what is known of this node if it claims something older.

        It can refute a false suspicion once it knows of it.
        """
        if known.freshness > claimed.freshness:
            self.update_by_node[known.node] = known

    def add_way(self, heartbeat: Heartbeat) -> None:
        """Add the time on the way to the age of what a heartbeat tells."""
        if self.round_trip_ms is None:
            heartbeat.policy_age_ms = None
        elif heartbeat.policy_age_ms is not None:
            heartbeat.policy_age_ms += math.ceil(self.round_trip_ms)
