"""Odd input of others is rejected alone; all that is sound is still read."""

import base64
import json
import unittest

from bergamotmount.acceptance import (
    AcceptedState,
    StateError,
    VerdictKind,
    read_checkpoint,
)
from bergamotmount.clock import Clock, LoopClock
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import (
    HttpLimits,
    HttpReply,
    RemoteAddress,
)
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.forwarding.policysource import PolicyError
from bergamotmount.forwarding.routetable import RoutePolicy
from bergamotmount.joining import parse_address
from bergamotmount.jsoninput import MAX_DEPTH, JsonError, load_json
from bergamotmount.platform import names
from bergamotmount.platform.control import ControlServer
from bergamotmount.platform.crashrecord import (
    MAX_SERVERS,
    crashes_key,
    parse_crashes,
)
from bergamotmount.platform.memberrecord import (
    EntryError,
    NodeEntry,
    parse_member,
)
from bergamotmount.platform.policyrecord import MAX_LEVEL, parse_record
from bergamotmount.platform.store import PlatformStore
from bergamotmount.records import InvalidRecord
from bergamotmount.records import parse_record as parse_own_record
from bergamotmount.tests.forwardingfixture import ForwardingFixture
from bergamotmount.tests.test_platform import RECORD
from bergamotmount.tests.test_routetable import policy
from bergamotmount.tests.virtualtime import VirtualTestCase

#: Nesting that no recursion limit allows, and that isn't even closed.
DEEP = b'[' * 100_000

#: The same in a field that nobody reads.
DEEP_FIELD = b'"unread": ' + b'[' * 5000 + b']' * 5000


def with_deep_field(document: object) -> bytes:
    """Return a JSON object with an additional field that is deeply nested."""
    packed = json.dumps(document).encode().removesuffix(b'}')
    return b'%s, %s}' % (packed, DEEP_FIELD)


class DeepNestingTest(VirtualTestCase):
    """One deeply nested entry kept new nodes from being found (issue 40)."""

    def test_entries_of_nodes_and_crashes(self):
        sound = b'["10.0.0.1:7620","r","fd-1",17,3'
        deep = sound + b',' + b'[' * 5000 + b']' * 5000 + b']'
        for packed in (DEEP, deep):
            with self.assertRaises(EntryError):
                parse_member('n-1', packed, 9)
            with self.assertRaises(EntryError):
                parse_crashes('crashes/7', packed)

    def test_policy_record(self):
        for record in (DEEP, with_deep_field(RECORD)):
            with self.assertRaises(PolicyError):
                parse_record(record)

    async def test_announcement(self):
        fixture = ForwardingFixture()
        fixture.store.publish(policy())
        control = ControlServer(fixture.add_host('a1', 'a').node, 'a1:80')
        for body in (DEEP, with_deep_field({'address': 'a1:80'})):
            reply = await control.handle_control(
                HttpRequest('PUT', f'{names.INSTANCES_PATH}i-1', [], body),
                RemoteAddress(''),
            )
            self.assertEqual(reply.status, 400)
        fixture.close()

    def test_records_of_the_own_interface(self):
        deep = with_deep_field({'id': 'r' * 8})
        for raw in (DEEP, deep):
            self.assertIsInstance(parse_own_record(raw), InvalidRecord)
            self.assertEqual(parse_address(raw), '')
            with self.assertRaises(StateError):
                AcceptedState.from_bytes(raw)
        self.assertIsNone(read_checkpoint(b'{"checkpoint":' + DEEP))
        verdict = AcceptedState().apply(0, DEEP)
        self.assertEqual(verdict.kind, VerdictKind.INVALID)

    def test_all_nodes_judge_a_depth_alike(self):
        """The recursion limit counts from the caller's own depth."""
        for depth, is_read in ((MAX_DEPTH, True), (MAX_DEPTH + 1, False)):
            raw = b'[' * depth + b']' * depth
            if is_read:
                self.assertIsInstance(load_json(raw), list)
            else:
                with self.assertRaises(JsonError):
                    load_json(raw)


class EntryFieldsTest(unittest.TestCase):
    """An entry with one odd field names no node (issue 40)."""

    def parse(self, node: str = 'n-1', **changes: object) -> NodeEntry:
        """Return a sound entry of era 2, but for these changes."""
        fields = {
            'address': '10.0.0.1:7620',
            'region': 'r',
            'failure_domain': 'fd-1',
            'incarnation': 17,
            'settled_era': 1,
            **changes,
        }
        return parse_member(node, json.dumps(list(fields.values())).encode(), 2)

    def assert_rejected(self, changes: dict[str, object]) -> None:
        with self.assertRaises(EntryError):
            self.parse(**changes)

    def test_sound_entry(self):
        self.assertEqual(self.parse().member.address, '10.0.0.1:7620')
        self.assertEqual(self.parse(address='::1:65535').settled_era, 1)

    def test_odd_fields(self):
        """Nodes dialled such ports, and passed the numbers on."""
        odd_by_field = {
            'address': (
                '10.0.0.1:99999',
                '10.0.0.1:0',
                '10.0.0.1:-1',
                '10.0.0.1:٣',
                '10.0.0.1:' + '9' * 5000,
                '10.0.0.1',
                'somewhere:7620',
                'a b:7620',
                '\0:7620',
                ':7620',
                '',
                7620,
                None,
            ),
            'region': ('', ' r', 'a\nb', 'r' * 256, 7, None, []),
            'failure_domain': ('', 'a\tb', 'f' * 256, 7, None, {}),
            'incarnation': (-1, 2**62 + 1, 10**400, 1.5, '17', None, True),
            'settled_era': (-1, 3, 2**70, 1.5, '1', None),
        }
        for field, odd_values in odd_by_field.items():
            for odd in odd_values:
                shown = repr(odd)[:40]
                with self.subTest(f'{field} {shown}'):
                    self.assert_rejected({field: odd})

    def test_odd_names_of_nodes(self):
        for node in ('', ' n', 'n\r\nX: 1', 'n' * 256):
            with self.subTest(node[:20]), self.assertRaises(EntryError):
                self.parse(node)

    def test_era_that_no_node_can_have_settled(self):
        """Keys withdrawn before a restore were accepted on its word."""
        with self.assertRaises(EntryError):
            self.parse(settled_era=10**6)

    def test_odd_crashes(self):
        for key in ('crashes/0x_1', 'crashes/-000000000000001', 'crashes/7'):
            with self.subTest(key), self.assertRaises(EntryError):
                parse_crashes(key, b'["i-1"]')
        servers = ['', 'i-1', 'a\nb', 'i' * 256, *map(str, range(5000))]
        reports = parse_crashes(crashes_key(7), json.dumps(servers).encode())
        self.assertEqual(reports[0].server, 'i-1')
        self.assertLessEqual(len(reports), MAX_SERVERS)


class AnnouncementFieldsTest(VirtualTestCase):
    """An odd announcement changes nothing (issue 40)."""

    def make_node(self) -> None:
        """Make a node without a policy, in the running event loop."""
        fixture = ForwardingFixture()
        self.addCleanup(fixture.close)
        self.node = fixture.add_host('a1', 'a').node
        self.control = ControlServer(self.node, 'a1:80')

    async def send(
        self, method: str, instance: str, body: dict | None = None
    ) -> int:
        path = f'{names.INSTANCES_PATH}{instance}'
        packed = json.dumps(body).encode()
        reply = await self.control.handle_control(
            HttpRequest(method, path, [], packed), RemoteAddress('')
        )
        return reply.status

    async def announce(self, instance: str = 'i-1', **changes: object) -> int:
        """Announce a sound server, but for these changes."""
        status = {'state': 'ready', 'sequence': 1, 'cold_left_s': 0}
        server_info = {
            'service': 'a',
            'slots': 4,
            'zone': 'east',
            'version': 'v1',
        }
        body: dict[str, object] = {'address': 'a1:80', 'born': 100}
        for field, odd in changes.items():
            owner = next(
                (each for each in (status, server_info) if field in each), body
            )
            owner[field] = odd
        document = {**body, 'status': status, 'info': server_info}
        return await self.send('PUT', instance, document)

    async def test_odd_fields_before_the_first_policy(self):
        """A start in the far future outdated all that the server said."""
        self.make_node()
        odd_by_field = {
            'address': ('b1:80', '', 7, None),
            'born': (-1, 2**60, 10**400, 1.5, None),
            'sequence': (-1, 2**53 + 1, 10**400, '1', None),
            'cold_left_s': (-1, 3601, 10**308, '1', None),
            'slots': (0, -1, 2**31, 10**400, 4.5),
            'service': ('', 'a\nb', ' a', 'a' * 256, None, 7),
            'state': ('', 'asleep', None, 7, []),
            'zone': (None, 7, []),
            'version': (None, 7, []),
        }
        for field, odd_values in odd_by_field.items():
            for odd in odd_values:
                status = await self.announce(**{field: odd})
                self.assertEqual(status, 400, f'{field} {odd!r}'[:60])
        self.assertEqual(self.node.members.local.slots, 0)
        self.assertEqual(await self.announce(), 200)
        self.assertEqual(self.node.members.local.slots, 4)

    async def test_odd_names_of_servers(self):
        self.make_node()
        for instance in ('', 'i' * 256, 'i\nx', ' i'):
            self.assertEqual(await self.announce(instance), 400, instance[:9])
            self.assertEqual(await self.send('DELETE', instance), 400)


class PolicyFieldsTest(unittest.TestCase):
    """A policy that no node can apply leaves the one before in force."""

    def parse(self, **changes: object) -> RoutePolicy:
        return parse_record(json.dumps({**RECORD, **changes}).encode())

    def assert_rejected(self, field: str, **changes: object) -> None:
        """Check that a record with these changes is rejected for a field."""
        with self.assertRaises(PolicyError) as caught:
            self.parse(**changes)
        self.assertIn(field, str(caught.exception))

    def test_odd_versions(self):
        """A heartbeat with such a version couldn't be encoded any more."""
        for odd in ('', '-1', '0x1', '1_0', ' 1', 'f' * 16, 'f' * 5000, 7):
            with self.subTest(str(odd)[:20]):
                self.assert_rejected('version', version=odd)
        self.assertEqual(self.parse(version='0000000c').version, 12)

    def test_odd_fields_of_routes(self):
        odd_by_field = {
            'name': ('', ' r', 'a\nb', 'r' * 256, 7, None),
            'host': ('', 'a b\r', None),
            'path_prefix': ('', 'a/', '/a b/', '/a\n', None),
            'timeout_s': (0, -1, 10**308, 10**400, '1', None),
            'priority': (-1, 10**30, 10**400, 1.5, None),
            'max_attempts': (0, -1, 10**30, 10**400, None),
            'target_latency_s': (0, -1, 10**400, None),
            'service': ('', 'a\r\nX: 1', 7, None),
            'traffic_split': (None, 7, [{}], [7]),
            'public': (None, 1, 'true'),
        }
        sound = RECORD['routes'][0]
        for field, odd_values in odd_by_field.items():
            for odd in odd_values:
                routes = [{**sound, field: odd}]
                with self.subTest(f'{field} {odd!r}'[:40]):
                    self.assert_rejected(field, routes=routes)

    def test_odd_weights(self):
        """Weights are divided by their sum."""
        sound = RECORD['routes'][1]
        too_large = ((10**308, 1), (10**400, 1))
        for weights in ((0, 0), (-1, 2), *too_large):
            split = [{'service': 'a', 'weight': each} for each in weights]
            odd = {**sound, 'traffic_split': split}
            with self.subTest(str(weights)[:20]):
                self.assert_rejected('weigh', routes=[odd])

    def test_odd_limits_and_services(self):
        """Timeouts below 0 would close each connection at once."""
        for field in RECORD['limits']:
            for odd in (0, -1, 10**30, 10**400, None, '1'):
                limits = {**RECORD['limits'], field: odd}
                with self.subTest(f'{field} {odd!r}'[:40]):
                    self.assert_rejected(field, limits=limits)
        for path in ('', 'h', '/a b', '/\r\nX: 1', 7):
            services = [{'name': 'a', 'health_path': path}]
            with self.subTest(path):
                self.assert_rejected('health_path', services=services)

    def test_quota_without_bounds(self):
        """Tokens are whole numbers; infinitely many aren't."""
        odd = {
            'name': 'a',
            'rate_per_s': 10**308,
            'burst': 10**308,
            'priority': 10**400,
        }
        organisation = self.parse(tenants=[odd]).organisations[0]
        self.assertLess(organisation.quota.allowed_in(10**6), 2**62)
        self.assertEqual(organisation.level, MAX_LEVEL)


class EntriesTest(unittest.IsolatedAsyncioTestCase):
    """Sound entries in the store are found beside odd ones."""

    async def asyncSetUp(self):
        self.replies: list[HttpReply] = []
        self.server = HttpServer(
            LoopClock(), self.handle_request, HttpLimits(), self.fail
        )
        await self.server.start('127.0.0.1:0')
        port = self.server._server.sockets[0].getsockname()[1]
        self.store = PlatformStore(Clock(), f'127.0.0.1:{port}')

    async def asyncTearDown(self):
        self.server.close()

    async def handle_request(self, _request: HttpRequest, _) -> HttpReply:
        return self.replies.pop(0)

    def add_page(
        self, *records: bytes, has_more: bool = False, era: int = 0
    ) -> None:
        """Let the store answer a page of records, as written here."""
        packed = b', '.join(records)
        tail = b'], "end_offset": 9, "has_more": '
        flag = b'true}' if has_more else b'false}'
        body = b'{"items": [' + packed + tail + flag
        headers = [names.STORE_ERA_HEADER, str(era)]
        self.replies.append(HttpReply(200, headers, body))

    async def found(self) -> list[str]:
        """Return the nodes that are found."""
        return [each.node for each in (await self.store.entries()).members]

    async def test_deeply_nested_entry(self):
        deep = b'["a:1","r","f",1,0,' + b'[' * 5000 + b']' * 5000 + b']'
        self.add_page(record('bad', deep), record('b'))
        self.assertEqual(await self.found(), ['b'])

    async def test_odd_record_in_a_page(self):
        """A record without a value hid all nodes of its page (issue 40)."""
        for odd in (
            b'{"key": "x", "offset": 1}',
            b'{"key": "x", "value": null, "offset": 1}',
            b'{"key": 7, "value": "", "offset": 1}',
            b'{"key": "\xff", "value": "", "offset": 1}',
            json.dumps({'key': 'x\udcff', 'value': ''}).encode(),
            b'{"key": "x", "value": "no base64!", "offset": 1}',
            b'[]',
            b'null',
        ):
            with self.subTest(odd):
                self.add_page(odd, record('a'), odd, has_more=True)
                self.add_page(odd, record('b'), odd)
                self.assertEqual(await self.found(), ['a', 'b'])

    async def test_offset_that_is_too_large(self):
        """Nothing needs the offset of a single record."""
        self.add_page(b'{"key": "x", "value": "", "offset": 1e400}')
        self.assertEqual(await self.found(), [])

    async def test_pages_that_come_again(self):
        """The store may not know a key in the form in which we read it."""
        for _ in range(2):
            self.add_page(record('a'), b'null', has_more=True)
        self.assertEqual(await self.found(), ['a'])
        self.assertEqual(self.replies, [])

    async def test_era_that_rises_between_pages(self):
        """An entry of the new era is sound, though the first page is older."""
        entry = b'["10.0.0.2:1","r","f",6,2]'
        self.add_page(record('a'), has_more=True, era=1)
        self.add_page(record('b', entry), era=2)
        self.assertEqual(await self.found(), ['a', 'b'])

    async def test_policy_beside_odd_records_and_on_a_later_page(self):
        """Nodes started without a policy beside many other records."""
        self.add_page(b'{"key": "x"}', record('other'), has_more=True)
        self.add_page(b'null', record('config', b'policy'))
        page = await self.store.newest_policy()
        self.assertEqual((page.records, page.next_offset), ([b'policy'], 9))


def record(key: str, packed: bytes = b'["10.0.0.1:1","r","f",6]') -> bytes:
    """Return a record in a page, by default with a sound entry."""
    encoded = base64.b64encode(packed).decode()
    document = {'key': key, 'value': encoded, 'offset': 1}
    return json.dumps(document).encode()
