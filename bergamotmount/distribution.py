"""Distribution of policy: from the log to a few readers, from them to all.

Two nodes of each failure domain read the log; the others take newer accepted
state from peers, as do all nodes that are cut off from the log. The offset
only grows, so nothing that is in force is ever taken back by old news.
"""

import dataclasses
import random
from collections.abc import Callable

from bergamotmount import events
from bergamotmount.acceptance import (
    AcceptedState,
    StateError,
    Verdict,
    VerdictKind,
)
from bergamotmount.clock import Clock
from bergamotmount.follower import POLICY_STREAM, Follower
from bergamotmount.hashing import hash64
from bergamotmount.membership import Members
from bergamotmount.messages import (
    Message,
    PolicyFetch,
    PolicyRecords,
    PolicyState,
)
from bergamotmount.policy import Policy
from bergamotmount.ports import LogError, LogService

#: Nodes of each failure domain that read the log.
READERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DistributionTimes:
    """Timing of reads from the log, in milliseconds.

    ``poll_ms`` is how long a reader's read waits for a record, ``spare_ms``
    how often a node that isn't a reader looks all the same, ``retry_ms`` the
    pause after an error. ``checkpoint_ms`` is the time between checkpoints;
    it must be well under the log's retention.
    """

    poll_ms: int = 2000
    spare_ms: int = 60_000
    retry_ms: int = 500
    checkpoint_ms: int = 600_000


class PolicyDistribution:
    """Keeps the accepted state of this node up to date."""

    def __init__(
        self,
        clock: Clock,
        log: LogService,
        members: Members,
        rng: random.Random,
        times: DistributionTimes,
        on_news: Callable[[], None],
    ) -> None:
        """Call ``on_news`` whenever peers should hear of a newer offset."""
        self.policy = Policy()
        self.is_log_reachable = False
        self._follower = Follower()
        self._clock = clock
        self._log = log
        self._members = members
        self._rng = rng
        self._times = times
        self._on_news = on_news
        self._checkpoint_seen_ms = clock.now_ms()

    @property
    def state(self) -> AcceptedState:
        """The accepted state in force."""
        return self._follower.state

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the log for its failure domain."""
        own = self._members.local
        domain = [
            member.node
            for member in self._members.alive()
            if member.failure_domain == own.failure_domain
        ]
        domain.sort(key=hash64)
        return own.node in domain[:READERS]

    async def run(self) -> None:
        """Follow the log until cancelled."""
        await self._clock.sleep(self._rng.uniform(0, self._times.retry_ms))
        while True:
            try:
                await self._read_once()
            except LogError:
                self._set_reachable(False)
                pause = self._rng.uniform(1, 2)
                await self._clock.sleep(self._times.retry_ms * pause)
            else:
                await self._write_checkpoint_if_due()
                await self._wait_for_turn()

    def serve(self, fetch: PolicyFetch) -> list[Message]:
        """Return what brings a peer up to date, nothing if it is already."""
        if fetch.known_offset >= self.state.offset:
            return []
        batch = self._follower.kept_since(fetch.known_offset)
        if batch is None:
            return [PolicyState(self.state.offset, self.state.to_bytes())]
        return [PolicyRecords(fetch.known_offset + 1, batch)]

    def take_records(self, batch: PolicyRecords) -> None:
        """Apply consecutive records that a peer sent."""
        verdicts = []
        for offset, raw in enumerate(batch.records, batch.first_offset):
            verdicts.extend(self._follower.take_record(offset, raw))
        self._note(verdicts, bool(verdicts))

    def take_state(self, message: PolicyState) -> None:
        """Take over a peer's whole state if it is newer."""
        try:
            state = AcceptedState.from_bytes(message.state)
        except StateError:
            return
        self._note([], self._follower.take_state(state))

    def behind(self, offset: int) -> list[Message]:
        """Return a fetch when a peer has accepted more than this node."""
        if offset > self.state.offset:
            return [PolicyFetch(self.state.offset)]
        return []

    async def _read_once(self) -> None:
        wait_ms = self._times.poll_ms if self.is_reader else 0
        page = await self._log.read(
            POLICY_STREAM,
            self._follower.next_offset,
            wait_ms,
        )
        self._set_reachable(True)
        before = self._follower.state.offset
        verdicts = self._follower.take_page(page)
        self._note(verdicts, self._follower.state.offset > before)

    def _note(self, verdicts: list[Verdict], changed: bool) -> None:
        for verdict in verdicts:
            events.record_decided.send(self, verdict=verdict)
            if verdict.kind is VerdictKind.CHECKPOINT:
                self._checkpoint_seen_ms = self._clock.now_ms()
        if changed:
            self.policy = self._follower.state.policy()
            events.policy_accepted.send(self, offset=self.state.offset)
            self._on_news()

    async def _write_checkpoint_if_due(self) -> None:
        age_ms = self._clock.now_ms() - self._checkpoint_seen_ms
        due_ms = self._times.checkpoint_ms * self._rng.uniform(1, 2)
        if not self.is_reader or age_ms < due_ms or self.state.offset < 0:
            return
        self._checkpoint_seen_ms = self._clock.now_ms()
        await self._append_checkpoint()

    async def _append_checkpoint(self) -> None:
        try:
            await self._log.append(POLICY_STREAM, self.state.checkpoint())
        except LogError:
            # Several writers are harmless, and the next one comes soon.
            self._set_reachable(False)

    async def _wait_for_turn(self) -> None:
        """Let a node that isn't a reader rest, unless it becomes one."""
        rested_ms: float = 0
        rest_ms = self._times.spare_ms * self._rng.uniform(1, 2)
        while rested_ms < rest_ms and not self.is_reader:
            await self._clock.sleep(self._times.retry_ms)
            rested_ms += self._times.retry_ms

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.is_log_reachable:
            self.is_log_reachable = reachable
            events.log_changed.send(self, reachable=reachable)
