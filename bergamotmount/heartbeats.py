"""Heartbeats: failure detection and gossip of membership between nodes.

Each node exchanges heartbeats with its fingers in the ring of members.
Membership updates travel along the fingers without waiting for the next
interval. A node that missed one finds out by comparing digests of the member
tables. A silent peer is suspected first and later marked as gone. Gone members
are still probed, which detects the end of a network partition.

Load pattern: all nodes of a deployment start within a second, or a failure
domain with a sixth of them is cut off and comes back. Each change must reach
every node about once, not once for each pair of nodes.
"""

import asyncio
import dataclasses
import functools
import itertools
import random
from collections.abc import Callable, Iterable

from bergamotmount import events
from bergamotmount.clock import Clock
from bergamotmount.heartbeatpeer import HeartbeatPeer
from bergamotmount.linkpool import LinkPool
from bergamotmount.member import GONE, Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.messages import Heartbeat
from bergamotmount.ring import Ring
from bergamotmount.supervision import keep_running
from bergamotmount.tablesync import SyncState, TableSync

#: Time for which updates are collected before they are sent together.
UPDATE_DELAY_MS = 10

#: Heartbeat intervals without a message after which a peer that is not a
#: finger is forgotten.
PEER_RETENTION_INTERVALS = 10

#: Number of nearest fingers that get a heartbeat at every interval, and the
#: interval of the other fingers as a multiple of it.
NEAR_FINGERS = 3
FAR_FINGER_INTERVALS = 4

#: Intervals of silence after which the connection to a peer is replaced, and
#: the minimum number of them before the peer is suspected.
RECONNECT_INTERVALS = 2
MIN_SUSPECT_INTERVALS = 3

_JITTER_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatTimes:
    """Timing of heartbeats, in milliseconds.

    ``suspect_ms`` is the silence after which a peer is suspected, ``gone_ms``
    the time after which a suspected peer is marked as gone.
    """

    interval_ms: int = 500
    suspect_ms: int = 1500
    gone_ms: int = 1500


class Heartbeats:
    """Exchanges heartbeats and updates the member table from them."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        links: LinkPool,
        seeds: Iterable[str],
        rng: random.Random,
        times: HeartbeatTimes,
        add_node_state: Callable[[Heartbeat], None],
    ) -> None:
        """Join through the addresses in ``seeds``.

        ``add_node_state`` fills in load, thresholds and policy offset of an
        outgoing heartbeat.
        """
        self._clock = clock
        self._members = members
        self._links = links
        self._seeds = set(seeds)
        self._rng = rng
        self._times = times
        self._add_node_state = add_node_state
        self._sequence = itertools.count()
        self._peer_by_node: dict[str, HeartbeatPeer] = {}
        self._task_by_node: dict[str, asyncio.Task] = {}
        self._interval_by_node: dict[str, float] = {}
        self._suspected_ms_by_node: dict[str, float] = {}
        self._ring_members: list[Member] = []
        self._ring = Ring(members.local_node, ())
        self._table_sync = TableSync(clock, members)
        self._is_round_requested = False
        self._probed_ms = float('-inf')
        self._send_requested = asyncio.Event()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            while True:
                started_ms = self._clock.now_ms()
                if started_ms - self._probed_ms >= self._times.interval_ms:
                    self._probed_ms = started_ms
                    self._probe_unreachable()
                self._refresh_fingers()
                await self._wait_for_round()
                self._reset_timers_after_pause(started_ms)
                self._mark_suspects_gone()
                self._forget_silent_peers()
                self._members.remove_expired()
        finally:
            self._replace_exchanges({})
            self._ring_members = []

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of other nodes to probe."""
        self._seeds.update(addresses)

    def disseminate(self, member: Member) -> None:
        """Send an update about this node to all other nodes."""
        self._queue_update(member, self._ring.fingers)

    def send_now(self) -> None:
        """Send a heartbeat to all fingers before the next interval."""
        self._is_round_requested = True
        self._send_requested.set()

    def send_reports(self, sender: str = '') -> None:
        """Send a heartbeat that asks for no reply to all fingers, at once.

        With a ``sender`` of such a heartbeat it is passed on to the fingers
        that this sender leaves to this node.
        """
        ring = self._ring
        targets = ring.forward_targets(sender) if sender else ring.fingers
        for target in targets:
            self._send_to(target.node, reply=True)

    def send_final_updates(self) -> None:
        """Send the queued updates before this node stops."""
        self._send_updates()

    def receive(self, heartbeat: Heartbeat) -> list[Heartbeat]:
        """Process a heartbeat and return the replies to its sender."""
        if not heartbeat.members:
            return []
        sender = heartbeat.members[0]
        peer = self._peer_of(sender)
        peer.record_received(heartbeat, self._clock.now_ms())
        for update in heartbeat.members:
            self._apply_update(update, sender.node)
        self._suspected_ms_by_node.pop(sender.node, None)
        known = self._members.member_by_node[sender.node]
        peer.queue_if_newer(known, sender)
        return self._replies_to(heartbeat, peer)

    def _replies_to(
        self, heartbeat: Heartbeat, peer: HeartbeatPeer
    ) -> list[Heartbeat]:
        node = heartbeat.members[0].node
        differing = self._table_sync.differing_members(heartbeat.buckets)
        replies = []
        if differing or not heartbeat.reply:
            reply = self._make_heartbeat(node, heartbeat.sequence)
            if not heartbeat.reply:
                reply.echoed_ms = heartbeat.sent_ms
            reply.members.extend(differing)
            if heartbeat.buckets and not heartbeat.reply:
                # With these the sender can return what is newer there.
                reply.buckets = self._table_sync.digests(heartbeat.buckets)
            replies.append(reply)
        if not heartbeat.buckets and self._table_sync.wants_exchange(
            peer.sync, heartbeat.digest
        ):
            request = self._make_heartbeat(
                node, next(self._sequence), reply=False
            )
            request.buckets = self._table_sync.digests()
            replies.append(request)
        return replies

    def _peer_of(self, member: Member) -> HeartbeatPeer:
        peer = self._peer_by_node.get(member.node)
        if peer is None or peer.address != member.address:
            now_ms = self._clock.now_ms()
            peer = HeartbeatPeer(member.address, now_ms, SyncState(now_ms))
            self._peer_by_node[member.node] = peer
        return peer

    def _apply_update(self, update: Member, sender: str) -> None:
        changed = self._members.merge(update)
        if changed is None:
            return
        if changed.state is MemberState.SUSPECTED:
            now_ms = self._clock.now_ms()
            self._suspected_ms_by_node.setdefault(changed.node, now_ms)
        events.member_changed.send(self, member=changed)
        if changed.node == self._members.local_node:
            self.disseminate(changed)
        else:
            self._queue_update(changed, self._ring.forward_targets(sender))

    def _publish_change(self, changed: Member) -> None:
        events.member_changed.send(self, member=changed)
        self.disseminate(changed)

    def _queue_update(self, update: Member, targets: Iterable[Member]) -> None:
        for target in targets:
            if target.node != update.node:
                peer = self._peer_of(target)
                peer.update_by_node[update.node] = update
        self._send_requested.set()

    def _make_heartbeat(
        self,
        node: str,
        sequence: int,
        reply: bool = True,
    ) -> Heartbeat:
        peer = self._peer_by_node.get(node)
        heartbeat = Heartbeat(
            sequence=sequence,
            reply=reply,
            members=[self._members.local],
            digest=self._members.digest,
            policy_offset=-1,
            sent_ms=self._clock.now_ms(),
        )
        if peer is not None:
            heartbeat.members.extend(peer.update_by_node.values())
            peer.update_by_node.clear()
        self._add_node_state(heartbeat)
        if peer is None:
            heartbeat.policy_age_ms = None
        else:
            peer.add_way(heartbeat)
        return heartbeat

    def _send_to(self, node: str, reply: bool = False) -> None:
        """Send a heartbeat; one that is no reply asks for a reply."""
        member = self._members.member_by_node.get(node)
        peer = self._peer_by_node.get(node)
        if member is None:
            return
        heartbeat = self._make_heartbeat(node, next(self._sequence), reply)
        if not member.is_routable and member.state != MemberState.SERVING:
            heartbeat.members.append(member)
        address = peer.address if peer else member.address
        self._links.send(address, heartbeat)

    def _send_updates(self) -> None:
        for node, peer in list(self._peer_by_node.items()):
            if peer.update_by_node:
                self._send_to(node, reply=True)

    def _refresh_fingers(self) -> None:
        alive = self._members.alive()
        if alive is self._ring_members:
            return
        self._ring_members = alive
        self._ring = Ring(self._members.local_node, alive)
        fingers = self._ring.fingers
        interval_by_node = {
            finger.node: self._interval_ms(index)
            for index, finger in enumerate(fingers)
        }
        for finger in fingers:
            self._peer_of(finger)
        self._replace_exchanges(interval_by_node)

    def _interval_ms(self, index: int) -> float:
        if index < NEAR_FINGERS:
            return self._times.interval_ms
        return self._times.interval_ms * FAR_FINGER_INTERVALS

    def _replace_exchanges(self, interval_by_node: dict[str, float]) -> None:
        current = self._interval_by_node.items()
        wanted = interval_by_node.items()
        for node, _ in sorted(current - wanted):
            self._task_by_node.pop(node).cancel()
        for node, interval_ms in sorted(wanted - current):
            self._peer_by_node[node].received_ms = self._clock.now_ms()
            exchange = functools.partial(self._exchange, node, interval_ms)
            task = asyncio.create_task(keep_running(self._clock, exchange))
            self._task_by_node[node] = task
        self._interval_by_node = interval_by_node

    async def _exchange(self, node: str, interval_ms: float) -> None:
        while True:
            started_ms = self._clock.now_ms()
            self._send_to(node)
            jitter = self._rng.uniform(1 - _JITTER_RATIO, 1 + _JITTER_RATIO)
            await self._clock.sleep(interval_ms * jitter)
            self._reset_timers_after_pause(started_ms + interval_ms)
            await self._check_silence(node, interval_ms)

    async def _check_silence(self, node: str, interval_ms: float) -> None:
        peer = self._peer_by_node.get(node)
        if peer is None:
            return
        silent_ms = self._clock.now_ms() - peer.received_ms
        if silent_ms > RECONNECT_INTERVALS * interval_ms:
            # The fault may lie in the connection only: try a new one.
            if await self._links.link(peer.address).reconnect():
                # It did, so that other connections may be silent too.
                self._links.probe_all()
        min_suspect_ms = MIN_SUSPECT_INTERVALS * interval_ms
        if silent_ms > max(self._times.suspect_ms, min_suspect_ms):
            update = self._members.suspect(node)
            if update is not None:
                now_ms = self._clock.now_ms()
                self._suspected_ms_by_node.setdefault(node, now_ms)
                self._publish_change(update)

    def _mark_suspects_gone(self) -> None:
        oldest_ms = self._clock.now_ms() - self._times.gone_ms
        for node, suspected_ms in list(self._suspected_ms_by_node.items()):
            member = self._members.member_by_node.get(node)
            if member is None or member.state is not MemberState.SUSPECTED:
                self._suspected_ms_by_node.pop(node)
            elif suspected_ms < oldest_ms:
                self._suspected_ms_by_node.pop(node)
                update = self._members.mark_gone(node)
                if update is not None:
                    self._publish_change(update)

    def _reset_timers_after_pause(self, started_ms: float) -> None:
        paused_ms = self._clock.now_ms() - started_ms
        if paused_ms < self._times.suspect_ms:
            return
        # This process was suspended and received nothing in the meantime, so
        # the silence says nothing about the peers: restart all timers.
        now_ms = self._clock.now_ms()
        for peer in self._peer_by_node.values():
            peer.received_ms = now_ms
        for node in self._suspected_ms_by_node:
            self._suspected_ms_by_node[node] = now_ms

    def _probe_unreachable(self) -> None:
        gone = self._members.gone()
        if gone:
            self._send_to(self._rng.choice(gone).node)
        unreached_seeds = self._seeds - {
            member.address
            for member in self._members.member_by_node.values()
            if member.state not in GONE
        }
        if unreached_seeds:
            address = self._rng.choice(sorted(unreached_seeds))
            heartbeat = self._make_heartbeat(
                '', next(self._sequence), reply=False
            )
            self._links.send(address, heartbeat)

    async def _wait_for_round(self) -> None:
        try:
            async with self._clock.timeout(self._times.interval_ms):
                await self._send_requested.wait()
        except TimeoutError:
            return
        await self._clock.sleep(UPDATE_DELAY_MS)
        self._send_requested.clear()
        if self._is_round_requested:
            self._is_round_requested = False
            for node in list(self._task_by_node):
                self._send_to(node)
        self._send_updates()

    def _forget_silent_peers(self) -> None:
        retention_ms = PEER_RETENTION_INTERVALS * self._times.interval_ms
        oldest_ms = self._clock.now_ms() - retention_ms
        for node, peer in list(self._peer_by_node.items()):
            if peer.received_ms < oldest_ms and node not in self._task_by_node:
                self._peer_by_node.pop(node)
