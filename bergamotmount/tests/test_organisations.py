"""Tests of requests with keys: what servers see, and who is denied."""

import asyncio
import dataclasses
import io

import logbook

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.forwarding.http import HttpRequest, header_of
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.reasons import DenialReason
from bergamotmount.reports import PolicyEvidence
from bergamotmount.tests.forwardingfixture import (
    HEADER_NAMES,
    ForwardingFixture,
    ForwardingHost,
    default_routes,
    make_forwarding_fixture,
)
from bergamotmount.tests.test_routetable import policy, route
from bergamotmount.tests.virtualtime import VirtualTestCase

ACME = Organisation('acme', ('k1', 'k2'))
ZETA = Organisation('zeta', ('z1',))
LEASE_MS = 4000
WITHDRAWAL_S = 5
PAGE = '/page/1'


def keyed_policy(version: int, *organisations: Organisation):
    """Return a policy with keys, two routes that need one, a public one."""
    routes = (*default_routes(), route('page', '/page/', is_public=True))
    return dataclasses.replace(
        policy(*routes, version=version), organisations=organisations
    )


async def make_keyed_fixture() -> ForwardingFixture:
    """Start nodes whose policy names two organisations."""
    fixture = await make_forwarding_fixture(policy_lease_ms=LEASE_MS)
    fixture.store.publish(keyed_policy(2, ACME, ZETA))
    await asyncio.sleep(1)
    return fixture


async def send_with_key(host: ForwardingHost, key: str, path: str = '/a/1'):
    """Send a request with a key to the node of a host."""
    return await host.send(
        path, extra_headers=(('Authorization', f'Bearer {key}'),)
    )


class ServerViewTest(VirtualTestCase):
    """A server learns the organisation of a request, and never the key."""

    async def test_key_is_replaced_by_the_organisation(self):
        """A server was shown keys, and believed what callers claimed."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['b1']
        name = HEADER_NAMES.organisation
        forged = (
            (name, 'zeta'),
            (name.upper(), 'zeta'),
            (name.replace('-', '_'), 'zeta'),
            ('authorization', 'bearer k2'),
        )
        reply = await host.send(extra_headers=forged)
        self.assertEqual(reply.status, 200)
        received = fixture.host_by_name['a1'].server.received[0]
        stated = [
            (each.lower().replace('_', '-'), text)
            for each, text in received.headers
        ]
        self.assertEqual(
            [text for each, text in stated if each == name.lower()], ['acme']
        )
        self.assertNotIn('k2', repr(received.headers))
        fixture.close()

    async def test_public_route(self):
        """A call of a server has no key; it must not name an organisation."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['b1']
        forged = ((HEADER_NAMES.organisation, 'zeta'),)
        reply = await host.send(PAGE, extra_headers=forged)
        self.assertEqual(reply.status, 200)
        reply = await send_with_key(host, 'z1', PAGE)
        self.assertEqual(reply.status, 200)
        received = fixture.host_by_name['a1'].server.received
        received = received + fixture.host_by_name['a2'].server.received
        self.assertEqual(
            sorted(
                header_of(request.headers, HEADER_NAMES.organisation) or ''
                for request in received
            ),
            ['', 'zeta'],
        )
        fixture.close()

    async def test_policy_without_organisations(self):
        """Credentials for the server itself must reach it as before."""
        fixture = await make_forwarding_fixture()
        await send_with_key(fixture.host_by_name['b1'], 'k1')
        received = fixture.host_by_name['a1'].server.received[0]
        self.assertEqual(
            header_of(received.headers, 'Authorization'), 'Bearer k1'
        )
        fixture.close()


class DenialTest(VirtualTestCase):
    """A request without an accepted key doesn't run."""

    async def test_missing_and_unknown_keys(self):
        """Requests with keys that no policy ever held ran."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['b1']
        self.assertEqual((await host.send()).status, 401)
        for key in ('k3', '', 'k1 k2'):
            with self.subTest(key=key):
                reply = await send_with_key(host, key)
                self.assertEqual(reply.status, 401)
                self.assertEqual(reply.headers, ['WWW-Authenticate', 'Bearer'])
        self.assertEqual((await send_with_key(host, 'k3', PAGE)).status, 401)
        self.assertEqual(sum(fixture.received_counts().values()), 0)
        counts = host.counters.counts
        self.assertEqual(counts[DenialReason.KEY_MISSING], 1)
        self.assertEqual(counts[DenialReason.KEY_UNKNOWN], 2)
        fixture.close()

    async def test_large_body_of_a_denied_request(self):
        """A body of many megabytes was held for a caller without a key."""
        fixture = await make_keyed_fixture()
        entry = fixture.host_by_name['b1'].node.entry
        for key, status in (('k3', 401), ('k1', None)):
            headers = [('Host', 'shop'), ('Authorization', f'Bearer {key}')]
            request = HttpRequest('POST', '/buy/1', headers)
            self.assertEqual(entry.check_head(request), status)
        fixture.close()

    async def test_empty_list_of_organisations(self):
        """Removing the last organisation must not open all routes."""
        fixture = await make_keyed_fixture()
        fixture.store.publish(keyed_policy(3))
        await asyncio.sleep(1)
        host = fixture.host_by_name['b1']
        self.assertEqual((await host.send()).status, 401)
        self.assertEqual((await send_with_key(host, 'k1')).status, 401)
        fixture.close()

    async def test_key_is_not_logged(self):
        """A key in a log could be used by all who read it."""
        stream = io.StringIO()
        with logbook.StreamHandler(stream, level='DEBUG').applicationbound():
            fixture = await make_keyed_fixture()
            host = fixture.host_by_name['b1']
            for key in ('k1', 'secret-key'):
                await send_with_key(host, key)
            server = fixture.host_by_name['a1'].server
            server.behaviour = server.lose_answer
            await send_with_key(host, 'k1', '/buy/1')
            fixture.close()
        logged = stream.getvalue()
        self.assertIn('denied', logged)
        for key in ('secret-key', 'k1'):
            self.assertNotIn(key, logged)


class WithdrawalTest(VirtualTestCase):
    """A withdrawn key isn't accepted anywhere after the allowed time."""

    async def withdraw_behind_cut(self, cut_store: bool, cut_peers: bool):
        """Withdraw a key; return the statuses before, and after the time."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['a1']
        host.store.is_partitioned = cut_store
        if cut_peers:
            for other in fixture.host_by_name:
                fixture.network.partitions |= {
                    (host.name, other),
                    (other, host.name),
                }
        fixture.store.publish(keyed_policy(3, ZETA))
        early = await send_with_key(host, 'k1')
        await asyncio.sleep(WITHDRAWAL_S)
        late = await send_with_key(host, 'k1')
        other = await send_with_key(host, 'z1')
        page = await host.send(PAGE)
        fixture.close()
        return early.status, late.status, other.status, page.status

    async def test_node_in_touch(self):
        """A key that was withdrawn went on."""
        statuses = await self.withdraw_behind_cut(False, False)
        self.assertEqual(statuses[1:], (401, 200, 200))

    async def test_node_cut_off_from_the_store(self):
        """Peers tell that there is a newer policy, and pass it on."""
        statuses = await self.withdraw_behind_cut(True, False)
        self.assertEqual(statuses[1:], (401, 200, 200))

    async def test_node_cut_off_from_its_peers(self):
        """The node reads the store for itself."""
        statuses = await self.withdraw_behind_cut(False, True)
        self.assertEqual(statuses[1:], (401, 200, 200))

    async def test_node_cut_off_from_all(self):
        """It accepts no key any more, and denies none; the rest goes on."""
        stream = io.StringIO()
        with logbook.StreamHandler(stream).applicationbound():
            statuses = await self.withdraw_behind_cut(True, True)
        self.assertEqual(statuses, (200, 503, 503, 200))
        # Operators find the cause by the id of the request.
        self.assertRegex(
            stream.getvalue(), r'refused request=a1-\d+ .*no_fresh_policy'
        )


class EvidenceTest(VirtualTestCase):
    """Evidence travels with answers, dated from when we asked."""

    async def test_age_counts_from_the_question(self):
        """An answer that waits in a socket made old evidence look new."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['a1']
        source = host.node.policy_source
        host.store.is_partitioned = True
        for other in fixture.host_by_name:
            fixture.network.partitions |= {
                (host.name, other),
                (other, host.name),
            }
        await asyncio.sleep(LEASE_MS / MS_PER_SECOND)
        self.assertEqual((await send_with_key(host, 'k1')).status, 503)
        asked_ms = host.clock.now_ms()
        await asyncio.sleep(1)
        source.learn_evidence(PolicyEvidence(2, LEASE_MS - 900), asked_ms)
        self.assertEqual((await send_with_key(host, 'k1')).status, 503)
        source.learn_evidence(PolicyEvidence(3, 0), host.clock.now_ms())
        self.assertEqual((await send_with_key(host, 'k1')).status, 503)
        source.learn_evidence(PolicyEvidence(2, 100), asked_ms)
        self.assertEqual((await send_with_key(host, 'k1')).status, 200)
        fixture.close()

    async def test_few_nodes_read(self):
        """Each node read the store for itself, which is priced."""
        fixture = await make_keyed_fixture()
        host = fixture.host_by_name['b1']
        before = sum(each.store.reads for each in fixture.host_by_name.values())
        for _ in range(200):
            await send_with_key(host, 'k1')
            await send_with_key(fixture.host_by_name['a1'], 'k1')
            await asyncio.sleep(0.05)
        reads = sum(each.store.reads for each in fixture.host_by_name.values())
        # Four nodes that read whenever their own evidence is a second old
        # make forty reads in these ten seconds.
        self.assertLess(reads - before, 26)
        fixture.close()
