"""Log of the holdings that a memory account sheds, bounded in volume."""

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.memoryaccount import Holding, MemoryAccount
from bergamotmount.reasons import DropReason


class ShedLog:
    """Counts and logs each holding that an account sheds."""

    def __init__(
        self, clock: Clock, account: MemoryAccount, counters: Counters
    ) -> None:
        """Report on ``account`` from now on."""
        self.decisions = DecisionLog(clock, 'memory')
        self._account = account
        self._counters = counters
        account.on_shed = self._on_shed

    def _on_shed(self, holding: Holding) -> None:
        account = self._account
        self._counters.dropped(DropReason.SHED)
        self.decisions.write(
            'shed',
            holder=holding.kind,
            held_bytes=holding.size_bytes,
            freed_bytes=holding.sheddable_bytes,
            idle_ms=round(account.now_ms() - holding.moved_ms),
            all_bytes=account.held_bytes,
            limit_bytes=account.limit_bytes,
        )
