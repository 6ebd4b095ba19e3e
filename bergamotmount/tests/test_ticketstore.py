"""Tests of tickets and of what a home remembers of them."""

import asyncio

from bergamotmount.clock import LoopClock
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.reasons import RefusalReason, UnknownReason
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.ticket import Ticket, TicketMint
from bergamotmount.ticketstore import (
    VOID_FACTOR,
    Granted,
    Joined,
    Rejected,
    TicketStore,
)

DONE = Answered(200, [], b'done')


class TicketMintTest(VirtualTestCase):
    """Only tickets of this fleet are read."""

    def test_round_trip(self):
        mint = TicketMint('a key that is long')
        ticket = mint.read(mint.mint('billhouse', 'billhouse-1', 7, 99))
        self.assertEqual(
            (ticket.service, ticket.home, ticket.incarnation, ticket.expiry_ms),
            ('billhouse', 'billhouse-1', 7, 99),
        )

    def test_any_change_is_noticed(self):
        mint = TicketMint('a key that is long')
        text = mint.mint('billhouse', 'billhouse-1', 7, 99)
        for position, letter in enumerate(text):
            other = '1' if letter == '0' else '0'
            forged = f'{text[:position]}{other}{text[position + 1 :]}'
            self.assertIsNone(mint.read(forged), forged)

    def test_garbage_and_foreign_tickets(self):
        mint = TicketMint('a key that is long')
        foreign = TicketMint('another long key').mint('a', 'a-1', 1, 1)
        for text in ('', '~~~~~', 'x' * 9999, '\u00e9~1~2~3~4~5', foreign):
            self.assertIsNone(mint.read(text))


class TicketStoreTest(VirtualTestCase):
    """Of all claims of one ticket exactly one is granted."""

    async def asyncSetUp(self):
        self.store = TicketStore(LoopClock(), 1, max_tickets=3)

    def ticket(self, number: int = 1, incarnation: int = 1, life_ms=60_000):
        expiry_ms = LoopClock().wall_ms() + life_ms
        return Ticket(f'id-{number}', 'a', 'a-1', incarnation, expiry_ms)

    async def test_repeats_join_and_get_the_kept_answer(self):
        await self.asyncSetUp()
        ticket = self.ticket()
        self.assertIsInstance(self.store.claim(ticket, 5), Granted)
        joined = self.store.claim(ticket, 5)
        self.assertIsInstance(joined, Joined)
        self.store.settle(ticket, DONE)
        self.assertEqual(await joined.settled, DONE)
        self.assertEqual(await self.store.claim(ticket, 5).settled, DONE)

    async def test_another_request_under_the_same_ticket_is_refused(self):
        await self.asyncSetUp()
        self.store.claim(self.ticket(), 5)
        claim = self.store.claim(self.ticket(), 6)
        self.assertEqual(
            claim,
            Rejected(NotRun(RefusalReason.TICKET_INVALID)),
        )

    async def test_a_void_ticket_never_runs(self):
        await self.asyncSetUp()
        ticket = self.ticket()
        self.store.claim(ticket, 5)
        self.store.void(ticket, RefusalReason.QUEUE_FULL)
        claim = self.store.claim(ticket, 5)
        self.assertEqual(claim, Rejected(NotRun(RefusalReason.TICKET_VOID)))

    async def test_an_earlier_incarnation_is_unknown(self):
        await self.asyncSetUp()
        claim = self.store.claim(self.ticket(incarnation=0), 5)
        reason = UnknownReason.HOME_RESTARTED
        self.assertEqual(claim, Rejected(Unknown(reason)))

    async def test_an_expired_ticket_is_unknown_and_forgotten(self):
        await self.asyncSetUp()
        ticket = self.ticket(life_ms=1000)
        self.store.claim(ticket, 5)
        self.store.settle(ticket, DONE)
        await asyncio.sleep(2)
        claim = self.store.claim(ticket, 5)
        reason = UnknownReason.TICKET_EXPIRED
        self.assertEqual(claim, Rejected(Unknown(reason)))
        self.assertEqual(self.store.held, 0)

    async def test_a_running_request_outlives_its_ticket(self):
        await self.asyncSetUp()
        ticket = self.ticket(life_ms=1000)
        self.store.claim(ticket, 5)
        await asyncio.sleep(2)
        self.assertIsInstance(self.store.claim(ticket, 5), Joined)
        self.store.settle(ticket, DONE)
        await asyncio.sleep(20)
        self.store.claim(self.ticket(2), 5)
        self.assertEqual(self.store.held, 1)

    async def test_a_full_store_says_not_run_only_while_it_can_void(self):
        await self.asyncSetUp()
        for number in range(3):
            self.store.claim(self.ticket(number), 5)
        for number in range(3, 3 + 3 * VOID_FACTOR):
            claim = self.store.claim(self.ticket(number), 5)
            self.assertIsInstance(claim.outcome, NotRun)
        claim = self.store.claim(self.ticket(999), 5)
        reason = UnknownReason.TICKET_UNSETTLED
        self.assertEqual(claim, Rejected(Unknown(reason)))
