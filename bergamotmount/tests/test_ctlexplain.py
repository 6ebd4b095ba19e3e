"""Tests of the search for a request in the logs of nodes."""

import argparse
import json
import os
import tempfile
import unittest

from bergamotmount import ctlexplain
from bergamotmount.ctlsources import InputError, Sources


def line(second: int, part: str, message: str, prefix: str = '') -> str:
    """Return one line of a log."""
    fields = {
        'time': f'2026-12-04T00:00:{second:02}Z',
        'level': 'info',
        'part': part,
        'message': message,
    }
    return f'{prefix}{json.dumps(fields)}\n'


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """Lines of all nodes in order, and the decision that ended it."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, name: str, *lines: str) -> str:
        path = os.path.join(self.folder.name, name)
        with open(path, 'w', encoding='utf-8') as sink:
            sink.writelines(lines)
        return path

    async def explain(self, request_id: str, *files: str):
        arguments = argparse.Namespace(id=request_id, files=list(files))
        sources = Sources('http://127.0.0.1:9', '127.0.0.1:9')
        async with sources:
            return await ctlexplain.explain(sources, arguments)

    async def test_lines_of_several_nodes(self):
        entry = self.write(
            'a.log',
            line(3, 'entry', 'unknown request=77 reason=answer_lost'),
            line(1, 'entry', 'refused request=78 reason=no_server'),
        )
        gateway = self.write(
            'b.log',
            line(2, 'gateway', 'unknown request=77 state=serving', ' 1.0 b-1 '),
        )
        report = await self.explain('77', entry, gateway)
        self.assertEqual(report.exit_code, 0)
        parts = [each['part'] for each in report.document['lines']]
        self.assertEqual(parts, ['gateway', 'entry'])
        self.assertEqual(report.document['lines'][0]['node'], 'b-1')
        self.assertIn('answer_lost', report.document['ending']['message'])

    async def test_bad_lines_are_counted(self):
        log = self.write(
            'a.log',
            'not a line\n',
            '{"time": 1\n',
            '{"time": 1}\n',
            '\n',
            '{' + 'x' * 200_000 + '\n',
            line(1, 'entry', 'refused request=77 reason=no_server'),
        )
        report = await self.explain('77', log)
        self.assertEqual(report.document['unreadable'], 4)
        self.assertEqual(len(report.document['lines']), 1)

    async def test_an_unknown_id_and_a_missing_file(self):
        log = self.write('a.log', line(1, 'entry', 'refused request=78 '))
        report = await self.explain('77', log)
        self.assertEqual(report.exit_code, 1)
        with self.assertRaises(InputError):
            await self.explain('77', 'no-such.log')
