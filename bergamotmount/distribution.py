"""Distribution of policy from the log to all nodes.

Two nodes of each failure domain poll the log. The other nodes fetch newer
accepted state from peers, as do all nodes that can't reach the log. The offset
only grows, so a delayed message never replaces the active policy by an older
one.
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
from bergamotmount.log import part_logger
from bergamotmount.membership import Members
from bergamotmount.messages import (
    Message,
    PolicyFetch,
    PolicyRecords,
    PolicyState,
)
from bergamotmount.policy import Policy
from bergamotmount.ports import LogError, LogService

_log = part_logger('policy')

#: Number of nodes in each failure domain that poll the log.
READERS_PER_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DistributionTimes:
    """Timing of reads from the log, in milliseconds.

    ``poll_ms`` is how long a read by a reader waits for a new record,
    ``spare_ms`` the interval at which the other nodes read the log,
    ``retry_ms`` the pause after an error. ``checkpoint_ms`` is the interval
    between checkpoints; it must be well below the retention time of the log.
    """

    poll_ms: int = 1000
    spare_ms: int = 60_000
    retry_ms: int = 500
    checkpoint_ms: int = 600_000


class PolicyDistribution:
    """Keeps the accepted policy state of this node up to date."""

    def __init__(
        self,
        clock: Clock,
        log: LogService,
        members: Members,
        rng: random.Random,
        times: DistributionTimes,
        on_new_offset: Callable[[], None],
    ) -> None:
        """Call ``on_new_offset`` when peers should learn of a newer offset."""
        self.policy = Policy()
        self.is_log_reachable = False
        self._follower = Follower()
        self._clock = clock
        self._log = log
        self._members = members
        self._rng = rng
        self._times = times
        self._on_new_offset = on_new_offset
        self._last_checkpoint_ms = clock.now_ms()

    @property
    def state(self) -> AcceptedState:
        """Accepted state of this node."""
        return self._follower.state

    @property
    def is_log_reader(self) -> bool:
        """Whether this node polls the log for its failure domain."""
        local = self._members.local
        candidates = [
            member.node
            for member in self._members.alive()
            if member.failure_domain == local.failure_domain
        ]
        candidates.sort(key=hash64)
        return local.node in candidates[:READERS_PER_DOMAIN]

    async def run(self) -> None:
        """Follow the log until cancelled."""
        await self._clock.sleep(self._rng.uniform(0, self._times.retry_ms))
        while True:
            try:
                await self._read_once()
            except LogError:
                self._set_log_reachable(False)
                pause = self._rng.uniform(1, 2)
                await self._clock.sleep(self._times.retry_ms * pause)
            else:
                await self._write_checkpoint_if_due()
                await self._wait_unless_reader()

    def answer_fetch(self, fetch: PolicyFetch) -> list[Message]:
        """Return the messages that bring a peer up to date, if it is behind."""
        if fetch.known_offset >= self.state.offset:
            return []
        raw_records = self._follower.records_since(fetch.known_offset)
        if raw_records is None:
            return [PolicyState(self.state.offset, self.state.to_bytes())]
        return [PolicyRecords(fetch.known_offset + 1, raw_records)]

    def apply_records(self, batch: PolicyRecords) -> None:
        """Apply consecutive records sent by a peer."""
        verdicts = []
        for offset, raw in enumerate(batch.records, batch.first_offset):
            verdicts.extend(self._follower.apply_record(offset, raw))
        self._notify_changes(verdicts, bool(verdicts))

    def install_state(self, message: PolicyState) -> None:
        """Install the complete state of a peer if it is newer."""
        try:
            state = AcceptedState.from_bytes(message.state)
        except StateError as error:
            _log.warning('State of a peer rejected: {}.', error)
            return
        self._notify_changes([], self._follower.install_state(state))

    def fetch_if_behind(self, offset: int) -> list[Message]:
        """Return a fetch request if a peer has a newer offset."""
        if offset > self.state.offset:
            return [PolicyFetch(self.state.offset)]
        return []

    async def _read_once(self) -> None:
        wait_ms = self._times.poll_ms if self.is_log_reader else 0
        page = await self._log.read(
            POLICY_STREAM,
            self._follower.next_offset,
            wait_ms,
        )
        self._set_log_reachable(True)
        before = self._follower.state.offset
        verdicts = self._follower.apply_page(page)
        self._notify_changes(verdicts, self._follower.state.offset > before)

    def _notify_changes(self, verdicts: list[Verdict], changed: bool) -> None:
        for verdict in verdicts:
            events.record_decided.send(self, verdict=verdict)
            if verdict.kind is VerdictKind.CHECKPOINT:
                self._last_checkpoint_ms = self._clock.now_ms()
        if changed:
            self.policy = self._follower.state.policy()
            events.policy_accepted.send(self, offset=self.state.offset)
            self._on_new_offset()

    async def _write_checkpoint_if_due(self) -> None:
        age_ms = self._clock.now_ms() - self._last_checkpoint_ms
        due_ms = self._times.checkpoint_ms * self._rng.uniform(1, 2)
        if not self.is_log_reader or age_ms < due_ms or self.state.offset < 0:
            return
        self._last_checkpoint_ms = self._clock.now_ms()
        await self._append_checkpoint()

    async def _append_checkpoint(self) -> None:
        try:
            await self._log.append(POLICY_STREAM, self.state.to_checkpoint())
        except LogError:
            # No retry: every reader writes checkpoints, which is harmless,
            # and the next one follows soon.
            self._set_log_reachable(False)

    async def _wait_unless_reader(self) -> None:
        """Pause unless this node is a reader; stop when it becomes one."""
        waited_ms: float = 0
        wait_ms = self._times.spare_ms * self._rng.uniform(1, 2)
        while waited_ms < wait_ms and not self.is_log_reader:
            await self._clock.sleep(self._times.retry_ms)
            waited_ms += self._times.retry_ms

    def _set_log_reachable(self, reachable: bool) -> None:
        if reachable != self.is_log_reachable:
            self.is_log_reachable = reachable
            events.log_changed.send(self, reachable=reachable)
