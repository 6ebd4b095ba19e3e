"""Publishes policy records and reports the verdicts on them."""

import dataclasses
import json

from bergamotmount.acceptance import Verdict
from bergamotmount.clock import Clock
from bergamotmount.follower import POLICY_STREAM, Follower
from bergamotmount.ports import LogError, LogService

#: Pause after an error of the log service, in milliseconds.
RETRY_PAUSE_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class PublishTimeout:
    """The log gave no verdict before the timeout.

    ``may_be_appended`` is true if an append was sent. The record may then be
    in the log, and publishing it again under the same id is safe.
    """

    may_be_appended: bool


class Publisher:
    """Appends records and reads the log to obtain their verdicts."""

    def __init__(self, clock: Clock, log: LogService) -> None:
        """Publish to the policy stream of ``log``."""
        self.follower = Follower()
        self._clock = clock
        self._log = log

    async def catch_up(self) -> None:
        """Read to the end of the stream or raise :class:`LogError`."""
        while True:
            page = await self._log.read(
                POLICY_STREAM,
                self.follower.next_offset,
                0,
            )
            self.follower.apply_page(page)
            if not page.records:
                return

    def verdicts(self) -> list[Verdict]:
        """Return the verdicts on the records read so far."""
        return list(self.follower.state.verdict_by_id.values())

    async def publish(
        self,
        document: dict[str, object],
        timeout_ms: float,
    ) -> Verdict | PublishTimeout:
        """Publish a record and return the verdict on it.

        If the answer to an append is lost, the log is read to its end and
        searched for the record's id. The record is appended again only if the
        id isn't found. If both copies are in the log, the second is a
        duplicate.
        """
        raw = json.dumps(document).encode()
        record_id = str(document['id'])
        deadline_ms = self._clock.now_ms() + timeout_ms
        may_be_appended = False
        while self._clock.now_ms() < deadline_ms:
            try:
                await self.catch_up()
                verdict = self.follower.state.verdict_by_id.get(record_id)
                if verdict is not None:
                    return verdict
                may_be_appended = True
                await self._log.append(POLICY_STREAM, raw)
            except LogError:
                await self._clock.sleep(RETRY_PAUSE_MS)
        return PublishTimeout(may_be_appended)
