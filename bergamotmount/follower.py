"""Applies the policy stream page by page, across gaps left by retention."""

from collections import deque

from bergamotmount.acceptance import AcceptedState, Verdict, read_checkpoint
from bergamotmount.ports import LogError, LogPage

#: Stream that operators publish policy records to.
POLICY_STREAM = 'policy'

#: Number of latest raw records that are stored to bring peers up to date.
MAX_RECENT_RECORDS = 64


class Follower:
    """Accepted state that follows the log and never moves backwards."""

    def __init__(self) -> None:
        """Start before the first record of the log."""
        self.state = AcceptedState()
        self._recent_records: deque[bytes] = deque(maxlen=MAX_RECENT_RECORDS)

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        return self.state.offset + 1

    def apply_page(self, page: LogPage) -> list[Verdict]:
        """Apply the records of a page and return the verdicts on them.

        If retention has removed records between the state and the page, the
        state is restored from the oldest checkpoint in the page from which
        the log continues without a gap. Raise :class:`LogError` if there is
        none; nothing is applied in that case.
        """
        if page.first_kept > self.next_offset:
            self._restore_from_checkpoint(page)
        if page.first_kept > self.next_offset:
            raise LogError(
                f'records {self.next_offset} to {page.first_kept - 1} are no '
                'longer in the log, and no checkpoint covers them',
            )
        verdicts = []
        for record in page.records:
            verdicts.extend(self.apply_record(record.offset, record.body))
        return verdicts

    def apply_record(self, offset: int, raw: bytes) -> list[Verdict]:
        """Apply a record if it is the next one and return its verdict."""
        if offset != self.next_offset:
            return []
        self._recent_records.append(raw)
        return [self.state.apply(offset, raw)]

    def install_state(self, state: AcceptedState) -> bool:
        """Replace the state if ``state`` is newer; return whether it was."""
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self._recent_records.clear()
        return True

    def records_since(self, offset: int) -> list[bytes] | None:
        """Return the raw records after an offset, ``None`` if some are gone."""
        missing = self.state.offset - offset
        if missing > len(self._recent_records):
            return None
        return list(self._recent_records)[len(self._recent_records) - missing :]

    def _restore_from_checkpoint(self, page: LogPage) -> None:
        for record in page.records:
            state = read_checkpoint(record.body)
            if state is None or state.offset >= record.offset:
                # A checkpoint is written after the records that it covers.
                continue
            if state.offset >= page.first_kept - 1:
                self.install_state(state)
                return
