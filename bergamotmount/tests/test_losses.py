"""Tests of the totals of outcomes, and of the tables of lost worth."""

import asyncio

import logbook

from bergamotmount.clock import LoopClock
from bergamotmount.forwarding.outcometotals import (
    OutcomeKey,
    OutcomeTotals,
    RequestOutcome,
)
from bergamotmount.reasons import RefusalReason
from bergamotmount.tests.forwardingfixture import make_forwarding_fixture
from bergamotmount.tests.test_ctlexplain import line
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.tools.losses import Total, Worth, format_losses, parse_totals


class OutcomeTotalsTest(VirtualTestCase):
    """Each second, every request of an entry is in exactly one total."""

    async def test_totals_miss_nothing(self):
        """The log shows ten failures a second and left out the rest."""
        fixture = await make_forwarding_fixture()
        entry = fixture.host_by_name['b1']
        with logbook.TestHandler().applicationbound() as handler:
            await asyncio.gather(*(entry.send() for _ in range(40)))
            for name in ('a1', 'a2'):
                server = fixture.host_by_name[name].server
                server.behaviour = server.shed
            await asyncio.gather(*(entry.send() for _ in range(30)))
            await asyncio.sleep(2)
            messages = [
                each.message
                for each in handler.records
                if each.message.startswith('totals')
            ]
        fixture.close()
        lines = [('n', line(1, 'entry', message)) for message in messages]
        totals = parse_totals(lines)
        self.assertEqual({total.route for total in totals}, {'read'})
        self.assertEqual(sum(total.count for total in totals), 70)
        refused = [
            total.count
            for total in totals
            if total.cause == f'refused {RefusalReason.SERVER_SHED}'
        ]
        self.assertEqual(sum(refused), 30)

    async def test_second_is_written_without_another_request(self):
        """Totals of the last second before a pause must not be held back."""
        with logbook.TestHandler() as handler:
            totals = OutcomeTotals(LoopClock(), 'entry')
            key = OutcomeKey('buy', False, RequestOutcome.LATE)
            totals.record(key)
            await asyncio.sleep(1)
            totals.flush()
            totals.flush()
            lines = [each.message for each in handler.records]
        expected = (
            'totals route=buy call=False outcome=late reason=- policy=-1 '
            'count=1'
        )
        self.assertEqual(lines, [expected])


class LossesTest(VirtualTestCase):
    """Losses by route, reason and second sum to the whole loss."""

    def test_each_table_sums_to_the_whole_loss(self):
        """A late answer earns a part, a refused request nothing."""
        totals = [
            Total('13:00:01', 'buy', False, 'answered', 10),
            Total('13:00:01', 'buy', False, 'late', 2),
            Total('13:00:02', 'buy', False, 'refused queue_full', 3),
            Total('13:00:02', 'look', True, 'failed', 4),
        ]
        lines = format_losses(totals, {'buy': Worth(3, 0.5)})
        sums = [row.split() for row in lines if row.startswith('sum')]
        whole = ['sum', '15', '14.0']
        calls = ['sum', '4', '4.0']
        self.assertEqual(sums, [whole, whole, whole, calls])
