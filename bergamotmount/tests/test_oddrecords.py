"""Odd input on the product's own interface: its log, records and states."""

import json
import unittest

from bergamotmount.acceptance import (
    MAX_DETAIL_CHARS,
    AcceptedState,
    StateError,
    VerdictKind,
)
from bergamotmount.adapters.log import HttpLog
from bergamotmount.clock import LoopClock
from bergamotmount.follower import Follower
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import HttpLimits, HttpReply
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.joining import parse_address
from bergamotmount.ports import LogError, LogPage, LogRecord
from bergamotmount.records import MAX_ID_CHARS
from bergamotmount.settings import check_settings
from bergamotmount.settingserror import SettingsError

NEWER = {
    'schema': 99,
    'id': 'record-99',
    'subject': 'retries',
    'based_on': None,
    'body': {'name': 'café'},
}


class RecordTest(unittest.TestCase):
    """An odd record is decided, like any other, and the next one read."""

    def test_newer_record_in_another_encoding(self):
        """It ended the task that follows the log, on each node."""
        text = json.dumps(NEWER, ensure_ascii=False)
        for encoding in ('utf-8', 'utf-8-sig', 'utf-16', 'utf-32'):
            state = AcceptedState()
            verdict = state.apply(0, text.encode(encoding))
            self.assertEqual(verdict.kind, VerdictKind.NEWER_SCHEMA, encoding)
            restored = AcceptedState.from_bytes(state.to_bytes())
            self.assertEqual(restored.offset, 0)
            newer = restored.record_by_subject['retries'].newer_raw
            self.assertEqual(json.loads(newer), NEWER)

    def test_verdicts_are_bounded(self):
        """A thousand of them are kept, of records of 256 KB."""
        odd = {f'field-{index}': index for index in range(9000)}
        odd['id'] = 'r' * 50_000
        raw = json.dumps(odd).encode()
        verdict = AcceptedState().apply(0, raw)
        self.assertEqual(verdict.kind, VerdictKind.INVALID)
        self.assertEqual(len(verdict.record_id), MAX_ID_CHARS)
        self.assertLessEqual(len(verdict.detail), MAX_DETAIL_CHARS)

    def test_odd_states(self):
        sound = json.loads(AcceptedState().to_bytes())
        for changes in (
            {'offset': 1e400},
            {'offset': None},
            {'offset': '9' * 5000},
            {'records': [7]},
            {'records': {'retries': {}}},
            {'verdicts': [{'kind': 'odd'}]},
            {'verdicts': [7]},
        ):
            raw = json.dumps({**sound, **changes}).encode()
            with self.subTest(str(changes)[:40]), self.assertRaises(StateError):
                AcceptedState.from_bytes(raw)

    def test_checkpoint_of_records_to_come(self):
        """A node would wait for good for a record that never comes."""
        state = AcceptedState()
        state.offset = 10**15
        odd = LogRecord(7, state.to_checkpoint())
        state.offset = 6
        sound = LogRecord(8, state.to_checkpoint())
        follower = Follower()
        follower.apply_page(LogPage(7, 9, [odd, sound]))
        self.assertEqual(follower.state.offset, 8)

    def test_addresses_that_cannot_be_dialled(self):
        for address in ('10.0.0.1:99999', 'x', '', 7, None, ['10.0.0.1:1']):
            raw = json.dumps({'address': address}).encode()
            self.assertEqual(parse_address(raw), '', address)
        raw = b'{"address": "10.0.0.1:7301"}'
        self.assertEqual(parse_address(raw), '10.0.0.1:7301')


class LogTest(unittest.IsolatedAsyncioTestCase):
    """A malformed answer of the log is an error of the log."""

    async def asyncSetUp(self):
        self.body = b''
        self.server = HttpServer(
            LoopClock(), self.handle_request, HttpLimits(), self.fail
        )
        await self.server.start('127.0.0.1:0')
        port = self.server._server.sockets[0].getsockname()[1]
        self.log = HttpLog(f'http://127.0.0.1:{port}')

    async def asyncTearDown(self):
        await self.log.close()
        self.server.close()

    async def handle_request(self, _request: HttpRequest, _) -> HttpReply:
        return HttpReply(200, [], self.body)

    async def test_odd_pages(self):
        """A number beyond all bounds was none of the expected errors."""
        record = '{"offset": 5, "body": ""}'
        for body in (
            '[' * 100_000,
            '[]',
            '7',
            '{"first_kept": 1e400, "next_offset": 6, "records": []}',
            '{"first_kept": 0, "next_offset": 1e400, "records": []}',
            '{"first_kept": 0, "next_offset": 6, "records": [7]}',
            '{"first_kept": 0, "next_offset": 6, "records": [{"offset": 1}]}',
            f'{{"first_kept": 0, "next_offset": 5, "records": [{record}]}}',
        ):
            self.body = body.encode()
            with self.subTest(body[:60]), self.assertRaises(LogError):
                await self.log.read('policy', 5, 0)

    async def test_odd_offsets_of_appends(self):
        for body in (b'{"offset": 1e400}', b'{"offset": null}', b'{}', b'[]'):
            self.body = body
            with self.subTest(body), self.assertRaises(LogError):
                await self.log.append('policy', b'record')


class SettingsTest(unittest.TestCase):
    """Ports are numbers that can be bound."""

    def test_odd_ports(self):
        for port in ('٣', '99999', '-1', '', '9' * 5000, '00'):
            sections = {'listen': {'peers': f'127.0.0.1:{port}'}}
            with self.assertRaises(SettingsError) as caught:
                check_settings('node.ini', sections)
            problems = str(caught.exception)
            self.assertIn('[listen] peers: found', problems, port[:9])
