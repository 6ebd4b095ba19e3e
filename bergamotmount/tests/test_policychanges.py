"""Changes of the policy: when they are in force, and what the log tells."""

import asyncio

import logbook

from bergamotmount.tests.forwardingfixture import make_forwarding_fixture
from bergamotmount.tests.test_routetable import policy, route
from bergamotmount.tests.virtualtime import VirtualTestCase


class PolicyLogTest(VirtualTestCase):
    """The log tells which version decided a request (issue 43)."""

    async def lines_after(self, path: str) -> list[str]:
        """Return what is logged about a request, and its totals."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(route('read', '/a/'), version=7))
        await asyncio.sleep(0.2)
        with logbook.TestHandler().applicationbound() as handler:
            await fixture.host_by_name['b1'].send(path)
            await asyncio.sleep(1.5)
            fixture.close()
        return [record.message for record in handler.records]

    async def test_totals_name_the_version(self):
        """Answered requests left no trace of the policy that was in force."""
        lines = await self.lines_after('/a/1')
        expected = (
            'totals route=read call=False outcome=answered reason=- policy=7 '
            'count=1'
        )
        self.assertIn(expected, lines)

    async def test_missing_route_leaves_a_line(self):
        """A 404 that an outdated policy caused left no line at all."""
        lines = await self.lines_after('/added/1')
        denials = [line for line in lines if line.startswith('denied ')]
        self.assertEqual(len(denials), 1)
        for field in ('request=b1-1', 'reason=no_route', 'policy=7'):
            self.assertIn(field, denials[0])
        self.assertIn('policy_age_ms=', denials[0])

    async def test_older_record_is_reported(self):
        """A record that was read and not applied left no line."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(route('read', '/a/'), version=7))
        await asyncio.sleep(0.2)
        with logbook.TestHandler().applicationbound() as handler:
            fixture.store.publish(policy(route('old', '/a/'), version=6))
            await asyncio.sleep(0.2)
            fixture.close()
        expected = 'Policy version 6 from store ignored: version 7 is active.'
        lines = [record.message for record in handler.records]
        self.assertEqual(lines.count(expected), 4)
