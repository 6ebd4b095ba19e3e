"""Follows the policy stream page by page, across gaps left by retention."""

from collections import deque

from bergamotmount.acceptance import AcceptedState, Verdict, read_checkpoint
from bergamotmount.ports import LogError, LogPage

#: Stream that operators publish policy records in.
POLICY_STREAM = 'policy'

#: Latest raw records that are kept to bring peers up to date.
KEPT_RECORDS = 64


class Follower:
    """Accepted state that moves forward with the log, and never back."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.state = AcceptedState()
        self._kept: deque[bytes] = deque(maxlen=KEPT_RECORDS)

    @property
    def next_offset(self) -> int:
        """Offset of the first record that isn't applied yet."""
        return self.state.offset + 1

    def take_page(self, page: LogPage) -> list[Verdict]:
        """Apply the records of a page and return what was decided.

        When records before the page are gone, the state is taken from the
        oldest checkpoint in it from which the log goes on unbroken. Raise
        :class:`LogError` when there is none; nothing is applied then.
        """
        if page.first_kept > self.next_offset:
            self._cross_gap(page)
        if page.first_kept > self.next_offset:
            raise LogError(
                f'records from {self.next_offset} to {page.first_kept - 1} '
                'are gone, and no checkpoint covers them',
            )
        verdicts = []
        for record in page.records:
            verdicts.extend(self.take_record(record.offset, record.body))
        return verdicts

    def take_record(self, offset: int, raw: bytes) -> list[Verdict]:
        """Apply one record if it is the next; return what was decided."""
        if offset != self.next_offset:
            return []
        self._kept.append(raw)
        return [self.state.apply(offset, raw)]

    def take_state(self, state: AcceptedState) -> bool:
        """Move to a whole state; return whether it was newer."""
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self._kept.clear()
        return True

    def kept_since(self, offset: int) -> list[bytes] | None:
        """Return the raw records after an offset, ``None`` if not all kept."""
        missing = self.state.offset - offset
        if missing > len(self._kept):
            return None
        return list(self._kept)[len(self._kept) - missing :]

    def _cross_gap(self, page: LogPage) -> None:
        for record in page.records:
            state = read_checkpoint(record.body)
            if state is not None and state.offset >= page.first_kept - 1:
                self.take_state(state)
                return
