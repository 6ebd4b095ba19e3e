"""Tests of tickets and of the store that holds them at their home."""

import asyncio

from bergamotmount.clock import LoopClock
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.reasons import RefusalReason, UnknownReason
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.ticket import Ticket, TicketSigner
from bergamotmount.ticketstore import (
    MAX_VOID_FACTOR,
    Granted,
    Joined,
    Rejected,
    TicketStore,
)

DONE = Answered(200, [], b'done')


class TicketSignerTest(VirtualTestCase):
    """Only tickets signed with the same key are accepted."""

    def test_round_trip(self):
        """A verified ticket has the fields that were signed."""
        signer = TicketSigner('a key that is long')
        ticket = signer.verify(signer.sign('billhouse', 'billhouse-1', 7, 99))
        self.assertEqual(
            (ticket.service, ticket.home, ticket.incarnation, ticket.expiry_ms),
            ('billhouse', 'billhouse-1', 7, 99),
        )

    def test_any_changed_character_is_detected(self):
        """A caller must not be able to alter a ticket."""
        signer = TicketSigner('a key that is long')
        text = signer.sign('billhouse', 'billhouse-1', 7, 99)
        for position, letter in enumerate(text):
            other = '1' if letter == '0' else '0'
            forged = f'{text[:position]}{other}{text[position + 1 :]}'
            self.assertIsNone(signer.verify(forged), forged)

    def test_malformed_and_foreign_tickets_are_rejected(self):
        """Malformed text and other keys give no ticket and no error."""
        signer = TicketSigner('a key that is long')
        foreign = TicketSigner('another long key').sign('a', 'a-1', 1, 1)
        for text in ('', '~~~~~', 'x' * 9999, '\u00e9~1~2~3~4~5', foreign):
            self.assertIsNone(signer.verify(text))


class TicketStoreTest(VirtualTestCase):
    """Of all claims of one ticket exactly one is granted."""

    async def asyncSetUp(self):
        self.store = TicketStore(LoopClock(), 1, max_tickets=3)

    def ticket(self, number: int = 1, incarnation: int = 1, life_ms=60_000):
        """Return a ticket that expires after ``life_ms``."""
        expiry_ms = LoopClock().wall_ms() + life_ms
        return Ticket(f'id-{number}', 'a', 'a-1', incarnation, expiry_ms)

    async def test_later_claims_get_the_stored_outcome(self):
        """A request that is sent again must not run a second time."""
        await self.asyncSetUp()
        ticket = self.ticket()
        self.assertIsInstance(self.store.claim(ticket, 5), Granted)
        joined = self.store.claim(ticket, 5)
        self.assertIsInstance(joined, Joined)
        self.store.settle(ticket, DONE)
        self.assertEqual(await joined.settled, DONE)
        self.assertEqual(await self.store.claim(ticket, 5).settled, DONE)

    async def test_same_ticket_for_another_request_is_refused(self):
        """A reused ticket must not return the answer to another request."""
        await self.asyncSetUp()
        self.store.claim(self.ticket(), 5)
        claim = self.store.claim(self.ticket(), 6)
        self.assertEqual(
            claim,
            Rejected(NotRun(RefusalReason.TICKET_INVALID)),
        )

    async def test_void_ticket_never_runs(self):
        """A request reported as not run must not run later."""
        await self.asyncSetUp()
        ticket = self.ticket()
        self.store.claim(ticket, 5)
        self.store.void(ticket, RefusalReason.QUEUE_FULL)
        claim = self.store.claim(ticket, 5)
        self.assertEqual(claim, Rejected(NotRun(RefusalReason.TICKET_VOID)))

    async def test_ticket_of_earlier_incarnation_is_unknown(self):
        """A restarted home can't tell whether the request has run."""
        await self.asyncSetUp()
        claim = self.store.claim(self.ticket(incarnation=0), 5)
        reason = UnknownReason.HOME_RESTARTED
        self.assertEqual(claim, Rejected(Unknown(reason)))

    async def test_expired_ticket_is_unknown_and_evicted(self):
        """Expired tickets must not fill the store or run again."""
        await self.asyncSetUp()
        ticket = self.ticket(life_ms=1000)
        self.store.claim(ticket, 5)
        self.store.settle(ticket, DONE)
        await asyncio.sleep(2)
        claim = self.store.claim(ticket, 5)
        reason = UnknownReason.TICKET_EXPIRED
        self.assertEqual(claim, Rejected(Unknown(reason)))
        self.assertEqual(self.store.ticket_count, 0)

    async def test_ticket_of_running_request_is_kept_after_expiry(self):
        """Evicting a running ticket early would lose its outcome."""
        await self.asyncSetUp()
        ticket = self.ticket(life_ms=1000)
        self.store.claim(ticket, 5)
        await asyncio.sleep(2)
        self.assertIsInstance(self.store.claim(ticket, 5), Joined)
        self.store.settle(ticket, DONE)
        await asyncio.sleep(20)
        self.store.claim(self.ticket(2), 5)
        self.assertEqual(self.store.ticket_count, 1)

    async def test_full_store_reports_not_run_only_while_it_can_void(self):
        """A store that can't record a void must not report "not run"."""
        await self.asyncSetUp()
        for number in range(3):
            self.store.claim(self.ticket(number), 5)
        for number in range(3, 3 + 3 * MAX_VOID_FACTOR):
            claim = self.store.claim(self.ticket(number), 5)
            self.assertIsInstance(claim.outcome, NotRun)
        claim = self.store.claim(self.ticket(999), 5)
        reason = UnknownReason.TICKET_UNSETTLED
        self.assertEqual(claim, Rejected(Unknown(reason)))
