"""Publishing a record: append it, settle a lost answer, learn the verdict."""

import dataclasses
import json

from bergamotmount.acceptance import Verdict
from bergamotmount.clock import Clock
from bergamotmount.follower import POLICY_STREAM, Follower
from bergamotmount.ports import LogError, LogService

#: Pause before the log is asked again after an error, in milliseconds.
RETRY_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class PublishTimeout:
    """The log could not be asked in time.

    ``may_be_appended`` tells whether an append was sent: the record then may
    be in the log, and publishing it again under the same id is safe.
    """

    may_be_appended: bool


class Publisher:
    """Appends records and follows the log to learn what became of them."""

    def __init__(self, clock: Clock, log: LogService) -> None:
        """Publish in the policy stream of ``log``."""
        self.follower = Follower()
        self._clock = clock
        self._log = log

    async def catch_up(self) -> None:
        """Read the stream to its end; raise :class:`LogError` when down."""
        while True:
            page = await self._log.read(
                POLICY_STREAM,
                self.follower.next_offset,
                0,
            )
            self.follower.take_page(page)
            if not page.records:
                return

    def verdicts(self) -> list[Verdict]:
        """Return what was decided on the records read so far."""
        return list(self.follower.state.verdict_by_id.values())

    async def publish(
        self,
        document: dict[str, object],
        longest_ms: float,
    ) -> Verdict | PublishTimeout:
        """Publish a record and return the verdict on it.

        An append whose answer is lost is settled by reading on and looking
        for the record's id; only when it isn't there, the same record is
        appended again. Should both copies arrive, the second is a duplicate.
        """
        raw = json.dumps(document).encode()
        record_id = str(document['id'])
        give_up_ms = self._clock.now_ms() + longest_ms
        may_be_appended = False
        while self._clock.now_ms() < give_up_ms:
            try:
                await self.catch_up()
                verdict = self.follower.state.verdict_by_id.get(record_id)
                if verdict is not None:
                    return verdict
                may_be_appended = True
                await self._log.append(POLICY_STREAM, raw)
            except LogError:
                await self._clock.sleep(RETRY_MS)
        return PublishTimeout(may_be_appended)
