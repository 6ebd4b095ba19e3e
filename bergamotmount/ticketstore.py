"""What a home remembers of the tickets it was shown.

For each ticket the home keeps one of: running, settled with its outcome, or
void. The memory lasts until the ticket expires; after that the expiry itself
refuses the ticket.
"""

import asyncio
import dataclasses
import heapq

from bergamotmount.clock import Clock
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import RefusalReason, UnknownReason
from bergamotmount.ticket import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The ticket was unseen; its request may be run now, by this caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The request runs or has run; ``settled`` gives its outcome."""

    settled: 'asyncio.Future[Outcome]'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The ticket can't be run here."""

    outcome: Outcome


Claim = Granted | Joined | Rejected

#: Running and settled tickets together may be this many, by default.
MAX_TICKETS = 20_000

#: Kept answers may hold this many bytes together, by default.
MAX_KEPT_BYTES = 8 << 20

#: A ticket that expires while its request runs is looked at again after this.
RUNNING_RECHECK_MS = 10_000

#: Voided tickets may be this many times the other tickets.
VOID_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    fingerprint: int
    settled: 'asyncio.Future[Outcome]'


class TicketStore:
    """Tickets of one incarnation, held in memory until they expire."""

    def __init__(
        self,
        clock: Clock,
        incarnation: int,
        max_tickets: int = MAX_TICKETS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        """Remember tickets for the process with this incarnation."""
        self.incarnation = incarnation
        self._clock = clock
        self._max_tickets = max_tickets
        self._max_kept_bytes = max_kept_bytes
        self._entry_by_id: dict[str, _Entry] = {}
        self._void_ids: set[str] = set()
        self._expiries: list[tuple[int, str]] = []
        self._kept_bytes = 0

    @property
    def held(self) -> int:
        """Number of tickets remembered."""
        return len(self._entry_by_id) + len(self._void_ids)

    def claim(self, ticket: Ticket, fingerprint: int) -> Claim:
        """Decide what the bearer of a ticket may do.

        ``fingerprint`` tells requests apart: a ticket that was used for one
        request is refused for any other.

        The decision and its record are one step: of any number of claims of
        one ticket, exactly one is granted.
        """
        self._forget_expired()
        if ticket.incarnation != self.incarnation:
            return Rejected(Unknown(UnknownReason.HOME_RESTARTED))
        if ticket.ticket_id in self._void_ids:
            return Rejected(NotRun(RefusalReason.TICKET_VOID))
        entry = self._entry_by_id.get(ticket.ticket_id)
        if entry is not None:
            return _join(entry, fingerprint)
        if self.is_expired(ticket):
            return Rejected(Unknown(UnknownReason.TICKET_EXPIRED))
        if self._is_full():
            return Rejected(self.void(ticket, RefusalReason.TICKETS_FULL))
        settled = asyncio.get_running_loop().create_future()
        self._entry_by_id[ticket.ticket_id] = _Entry(fingerprint, settled)
        heapq.heappush(self._expiries, (ticket.expiry_ms, ticket.ticket_id))
        return Granted()

    def is_expired(self, ticket: Ticket) -> bool:
        """Whether the ticket's time is over on this clock."""
        return ticket.expiry_ms <= self._clock.wall_ms()

    def settle(self, ticket: Ticket, outcome: Outcome) -> None:
        """Record the outcome of a granted ticket and tell who joined."""
        entry = self._entry_by_id.get(ticket.ticket_id)
        if entry is None or entry.settled.done():
            return
        entry.settled.set_result(outcome)
        self._kept_bytes += _kept_size(outcome)

    def void(self, ticket: Ticket, reason: RefusalReason) -> Outcome:
        """Make sure that the ticket never runs; return what may be said.

        Only after the void is recorded may a caller be told "not run". When
        there is no memory left to record it, the outcome is unknown.
        """
        outcome: Outcome = NotRun(reason)
        entry = self._entry_by_id.pop(ticket.ticket_id, None)
        if entry is None:
            if len(self._void_ids) >= self._max_tickets * VOID_FACTOR:
                return Unknown(UnknownReason.TICKET_UNSETTLED)
            heapq.heappush(self._expiries, (ticket.expiry_ms, ticket.ticket_id))
        elif not entry.settled.done():
            entry.settled.set_result(outcome)
        self._void_ids.add(ticket.ticket_id)
        return outcome

    def _is_full(self) -> bool:
        if self._kept_bytes > self._max_kept_bytes:
            return True
        return len(self._entry_by_id) >= self._max_tickets

    def _forget_expired(self) -> None:
        now_ms = self._clock.wall_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, ticket_id = heapq.heappop(self._expiries)
            self._void_ids.discard(ticket_id)
            self._forget(ticket_id, now_ms)

    def _forget(self, ticket_id: str, now_ms: int) -> None:
        entry = self._entry_by_id.get(ticket_id)
        if entry is None:
            return
        if not entry.settled.done():
            later_ms = now_ms + RUNNING_RECHECK_MS
            heapq.heappush(self._expiries, (later_ms, ticket_id))
            return
        self._entry_by_id.pop(ticket_id)
        self._kept_bytes -= _kept_size(entry.settled.result())


def _join(entry: _Entry, fingerprint: int) -> Claim:
    if entry.fingerprint == fingerprint:
        return Joined(entry.settled)
    return Rejected(NotRun(RefusalReason.TICKET_INVALID))


def _kept_size(outcome: Outcome) -> int:
    match outcome:
        case Answered(body=body):
            return len(body)
        case _:
            return 0
