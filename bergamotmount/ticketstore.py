"""Tickets that a home has received, stored until they expire.

Each ticket is in one of three states: running, settled with its outcome, or
void. It is stored until it expires; after that its expiry time alone is enough
to refuse it.
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
    """This is the first claim of the ticket; it may run its request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The request is running or has run; ``settled`` gives its outcome."""

    settled: 'asyncio.Future[Outcome]'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The ticket can't be used here; ``outcome`` is the result to return."""

    outcome: Outcome


Claim = Granted | Joined | Rejected

#: Default maximum number of running and settled tickets.
MAX_TICKETS = 20_000

#: Default total size of stored answers above which no ticket is granted.
MAX_STORED_BYTES = 8 << 20

#: Time until a ticket that expired while its request runs is checked again.
RUNNING_RECHECK_MS = 10_000

#: Maximum number of void tickets, as a multiple of the maximum of the others.
MAX_VOID_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    fingerprint: int
    settled: 'asyncio.Future[Outcome]'


class TicketStore:
    """In-memory store of the tickets of one incarnation."""

    def __init__(
        self,
        clock: Clock,
        incarnation: int,
        max_tickets: int = MAX_TICKETS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        """Store tickets for the process with this incarnation."""
        self.incarnation = incarnation
        self._clock = clock
        self._max_tickets = max_tickets
        self._max_stored_bytes = max_stored_bytes
        self._entry_by_id: dict[str, _Entry] = {}
        self._void_ids: set[str] = set()
        self._expiries: list[tuple[int, str]] = []
        self._stored_bytes = 0

    @property
    def ticket_count(self) -> int:
        """Number of stored tickets, void ones included."""
        return len(self._entry_by_id) + len(self._void_ids)

    def claim(self, ticket: Ticket, fingerprint: int) -> Claim:
        """Decide whether the bearer of a ticket may run its request.

        ``fingerprint`` identifies the request: a ticket that was used for one
        request is refused for any other.

        The decision is made and recorded in one step: of any number of claims
        of one ticket, exactly one is granted.
        """
        self._evict_expired()
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
        """Return whether the ticket has expired by the local clock."""
        return ticket.expiry_ms <= self._clock.wall_ms()

    def settle(self, ticket: Ticket, outcome: Outcome) -> None:
        """Record the outcome of a granted ticket and notify joined claims."""
        entry = self._entry_by_id.get(ticket.ticket_id)
        if entry is None or entry.settled.done():
            return
        entry.settled.set_result(outcome)
        self._stored_bytes += _stored_size(outcome)

    def void(self, ticket: Ticket, reason: RefusalReason) -> Outcome:
        """Prevent the ticket from ever running and return the outcome.

        "Not run" may be reported to a caller only after the void is recorded.
        If the store is too full to record it, the outcome is unknown.
        """
        outcome: Outcome = NotRun(reason)
        entry = self._entry_by_id.pop(ticket.ticket_id, None)
        if entry is None:
            if len(self._void_ids) >= self._max_tickets * MAX_VOID_FACTOR:
                return Unknown(UnknownReason.TICKET_UNSETTLED)
            heapq.heappush(self._expiries, (ticket.expiry_ms, ticket.ticket_id))
        elif not entry.settled.done():
            entry.settled.set_result(outcome)
        self._void_ids.add(ticket.ticket_id)
        return outcome

    def _is_full(self) -> bool:
        if self._stored_bytes > self._max_stored_bytes:
            return True
        return len(self._entry_by_id) >= self._max_tickets

    def _evict_expired(self) -> None:
        now_ms = self._clock.wall_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, ticket_id = heapq.heappop(self._expiries)
            self._void_ids.discard(ticket_id)
            self._evict(ticket_id, now_ms)

    def _evict(self, ticket_id: str, now_ms: int) -> None:
        entry = self._entry_by_id.get(ticket_id)
        if entry is None:
            return
        if not entry.settled.done():
            recheck_ms = now_ms + RUNNING_RECHECK_MS
            heapq.heappush(self._expiries, (recheck_ms, ticket_id))
            return
        self._entry_by_id.pop(ticket_id)
        self._stored_bytes -= _stored_size(entry.settled.result())


def _join(entry: _Entry, fingerprint: int) -> Claim:
    if entry.fingerprint == fingerprint:
        return Joined(entry.settled)
    return Rejected(NotRun(RefusalReason.TICKET_INVALID))


def _stored_size(outcome: Outcome) -> int:
    match outcome:
        case Answered(body=body):
            return len(body)
        case _:
            return 0
