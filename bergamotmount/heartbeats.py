"""Heartbeats: exchange of signs of life and of news between nodes.

Each node exchanges heartbeats with its fingers in the ring of members. News
goes out at once to all peers of the last seconds, and what was missed is found
by comparing digests. A peer that stays silent is suspected and later counts as
gone; a peer that is gone is probed now and then, so that a healed cut is
noticed.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable

from bergamotmount import events
from bergamotmount.clock import Clock
from bergamotmount.link import LinkPool
from bergamotmount.member import GONE, Member, MemberState
from bergamotmount.membership import Members, find_fingers
from bergamotmount.messages import Heartbeat

#: Digests that differ in so many heartbeats lead to a full exchange.
FULL_AFTER_MISMATCHES = 4

#: Most members in one heartbeat, but for a full exchange.
MAX_NEWS = 50

#: Peers that were heard within this many intervals get news.
PEER_LIFE_INTERVALS = 10

#: Fingers that are asked at every interval; the others, at this multiple.
NEAR_FINGERS = 3
FAR_INTERVALS = 4

#: Intervals of silence after which a connection is given up, and a peer
#: suspected at the earliest.
SILENT_INTERVALS = 2
SUSPECT_INTERVALS = 3

_JITTER = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatTimes:
    """Timing of heartbeats, in milliseconds.

    ``suspect_ms`` is the silence after which a peer is suspected, and
    ``gone_ms`` how long it may stay suspected.
    """

    interval_ms: int = 500
    suspect_ms: int = 1500
    gone_ms: int = 1500


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of a node that heartbeats are exchanged with."""

    address: str
    heard_ms: float
    news_by_node: dict[str, Member] = dataclasses.field(default_factory=dict)
    mismatches: int = 0


class Heartbeats:
    """Exchanges heartbeats and keeps the member table up to date."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        links: LinkPool,
        seeds: Iterable[str],
        rng: random.Random,
        times: HeartbeatTimes,
        prepare: Callable[[Heartbeat], None],
    ) -> None:
        """Join by ``seeds``; ``prepare`` adds load, thresholds and offset."""
        self._clock = clock
        self._members = members
        self._links = links
        self._seeds = set(seeds)
        self._rng = rng
        self._times = times
        self._prepare = prepare
        self._sequence = itertools.count()
        self._peer_by_node: dict[str, _Peer] = {}
        self._task_by_node: dict[str, asyncio.Task] = {}
        self._interval_by_node: dict[str, float] = {}
        self._suspected_ms_by_node: dict[str, float] = {}
        self._fingers_of: list[Member] = []
        self._urgent = asyncio.Event()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            while True:
                started_ms = self._clock.now_ms()
                self._probe()
                self._follow_fingers()
                await self._wait_until_urgent()
                self._note_pause(started_ms)
                self._mark_suspects_gone()
                self._members.forget_old()
        finally:
            for task in self._task_by_node.values():
                task.cancel()

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which other nodes may be found."""
        self._seeds.update(addresses)

    def spread(self, member: Member) -> None:
        """Send news to all peers at once."""
        oldest_ms = self._clock.now_ms() - self._peer_life_ms()
        for node, peer in list(self._peer_by_node.items()):
            if peer.heard_ms < oldest_ms and node not in self._task_by_node:
                self._peer_by_node.pop(node)
            elif node != member.node:
                peer.news_by_node[member.node] = member
        self.push()

    def push(self) -> None:
        """Send a heartbeat to all peers now, without waiting its turn."""
        self._urgent.set()

    def send_last_news(self) -> None:
        """Send the last news before this node stops."""
        for node in list(self._peer_by_node):
            self._send_to(node)

    def take(self, heartbeat: Heartbeat) -> list[Heartbeat]:
        """Take a heartbeat over and return what to answer."""
        if not heartbeat.members:
            return []
        sender = heartbeat.members[0]
        peer = self._peer_of(sender)
        peer.heard_ms = self._clock.now_ms()
        for news in heartbeat.members:
            self._merge(news)
        self._compare(sender, peer, heartbeat)
        self._suspected_ms_by_node.pop(sender.node, None)
        wants_full = peer.mismatches >= FULL_AFTER_MISMATCHES
        if heartbeat.reply and not wants_full:
            return []
        if wants_full:
            peer.mismatches = 0
        return [self._make(sender.node, heartbeat.sequence, full=wants_full)]

    def _peer_of(self, member: Member) -> _Peer:
        peer = self._peer_by_node.get(member.node)
        if peer is None or peer.address != member.address:
            peer = _Peer(member.address, self._clock.now_ms())
            self._peer_by_node[member.node] = peer
        return peer

    def _merge(self, news: Member) -> None:
        known = self._members.member_by_node.get(news.node)
        changed = self._members.merge(news)
        if changed is None:
            return
        if changed.state is MemberState.SUSPECTED:
            now_ms = self._clock.now_ms()
            self._suspected_ms_by_node.setdefault(changed.node, now_ms)
        self._announce(changed)
        if known is None:
            self.push()

    def _announce(self, changed: Member) -> None:
        events.member_changed.send(self, member=changed)
        self.spread(changed)

    def _compare(
        self,
        sender: Member,
        peer: _Peer,
        heartbeat: Heartbeat,
    ) -> None:
        known = self._members.member_by_node[sender.node]
        if known.freshness > sender.freshness:
            # The sender doesn't know what is told of it, and may refute it.
            peer.news_by_node[known.node] = known
        if heartbeat.digest == self._members.digest:
            peer.mismatches = 0
        elif heartbeat.full:
            peer.mismatches = FULL_AFTER_MISMATCHES if heartbeat.reply else 0
        else:
            peer.mismatches += 1

    def _make(
        self,
        node: str,
        sequence: int,
        full: bool = False,
        reply: bool = True,
    ) -> Heartbeat:
        peer = self._peer_by_node.get(node)
        heartbeat = Heartbeat(
            sequence=sequence,
            reply=reply,
            members=[self._members.own],
            digest=self._members.digest,
            policy_offset=-1,
            full=full,
        )
        if full:
            heartbeat.members.extend(self._members.member_by_node.values())
        elif peer is not None:
            heartbeat.members.extend(_take_news(peer))
        self._prepare(heartbeat)
        return heartbeat

    def _send_to(self, node: str) -> None:
        member = self._members.member_by_node.get(node)
        peer = self._peer_by_node.get(node)
        if member is None:
            return
        heartbeat = self._make(node, next(self._sequence), reply=False)
        if not member.is_routable and member.state != MemberState.SERVING:
            heartbeat.members.append(member)
        address = peer.address if peer else member.address
        self._links.send(address, heartbeat)

    def _follow_fingers(self) -> None:
        alive = self._members.alive()
        if alive is self._fingers_of:
            return
        self._fingers_of = alive
        fingers = find_fingers(self._members.own_node, alive)
        interval_by_node = {
            finger.node: self._interval_ms(number)
            for number, finger in enumerate(fingers)
        }
        for finger in fingers:
            self._peer_of(finger)
        self._follow(interval_by_node)

    def _interval_ms(self, number: int) -> float:
        if number < NEAR_FINGERS:
            return self._times.interval_ms
        return self._times.interval_ms * FAR_INTERVALS

    def _follow(self, interval_by_node: dict[str, float]) -> None:
        followed = self._interval_by_node.items()
        wanted = interval_by_node.items()
        for node, _ in sorted(followed - wanted):
            self._task_by_node.pop(node).cancel()
        for node, interval_ms in sorted(wanted - followed):
            self._peer_by_node[node].heard_ms = self._clock.now_ms()
            task = asyncio.create_task(self._exchange(node, interval_ms))
            self._task_by_node[node] = task
        self._interval_by_node = interval_by_node

    async def _exchange(self, node: str, interval_ms: float) -> None:
        while True:
            started_ms = self._clock.now_ms()
            self._send_to(node)
            jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep(interval_ms * jitter)
            self._note_pause(started_ms + interval_ms)
            await self._check_silence(node, interval_ms)

    async def _check_silence(self, node: str, interval_ms: float) -> None:
        peer = self._peer_by_node.get(node)
        if peer is None:
            return
        silent_ms = self._clock.now_ms() - peer.heard_ms
        if silent_ms > SILENT_INTERVALS * interval_ms:
            # Perhaps only the connection is dead: ask over a new one.
            await self._links.link(peer.address).reopen()
        least_ms = SUSPECT_INTERVALS * interval_ms
        if silent_ms > max(self._times.suspect_ms, least_ms):
            news = self._members.suspect(node)
            if news is not None:
                now_ms = self._clock.now_ms()
                self._suspected_ms_by_node.setdefault(node, now_ms)
                self._announce(news)

    def _mark_suspects_gone(self) -> None:
        oldest_ms = self._clock.now_ms() - self._times.gone_ms
        for node, since_ms in list(self._suspected_ms_by_node.items()):
            member = self._members.member_by_node.get(node)
            if member is None or member.state is not MemberState.SUSPECTED:
                self._suspected_ms_by_node.pop(node)
            elif since_ms < oldest_ms:
                self._suspected_ms_by_node.pop(node)
                news = self._members.mark_gone(node)
                if news is not None:
                    self._announce(news)

    def _note_pause(self, started_ms: float) -> None:
        paused_ms = self._clock.now_ms() - started_ms
        if paused_ms < self._times.suspect_ms:
            return
        # This process was frozen: the silence was its own.
        now_ms = self._clock.now_ms()
        for peer in self._peer_by_node.values():
            peer.heard_ms = now_ms
        for node in self._suspected_ms_by_node:
            self._suspected_ms_by_node[node] = now_ms

    def _probe(self) -> None:
        gone = self._members.gone()
        if gone:
            self._send_to(self._rng.choice(gone).node)
        strangers = self._seeds - {
            member.address
            for member in self._members.member_by_node.values()
            if member.state not in GONE
        }
        if strangers:
            address = self._rng.choice(sorted(strangers))
            heartbeat = self._make('', next(self._sequence), reply=False)
            self._links.send(address, heartbeat)

    async def _wait_until_urgent(self) -> None:
        try:
            async with self._clock.timeout(self._times.interval_ms):
                await self._urgent.wait()
        except TimeoutError:
            return
        self._urgent.clear()
        for node in list(self._task_by_node):
            self._send_to(node)

    def _peer_life_ms(self) -> float:
        return PEER_LIFE_INTERVALS * self._times.interval_ms


def _take_news(peer: _Peer) -> list[Member]:
    nodes = list(itertools.islice(peer.news_by_node, MAX_NEWS))
    return [peer.news_by_node.pop(node) for node in nodes]
