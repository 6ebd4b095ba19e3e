"""Tests of the search for a request in log files of nodes."""

import argparse
import json
import os
import tempfile
import unittest

from bergamotmount import ctlexplain
from bergamotmount.ctlsources import InputError, Sources


def line(second: int, part: str, message: str, prefix: str = '') -> str:
    """Return one line of a log file."""
    fields = {
        'time': f'2026-12-04T00:00:{second:02}Z',
        'level': 'info',
        'part': part,
        'message': message,
    }
    return f'{prefix}{json.dumps(fields)}\n'


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """Finds the lines of a request and the decision that ended it."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, name: str, *lines: str) -> str:
        """Write a log file and return its path."""
        path = os.path.join(self.folder.name, name)
        with open(path, 'w', encoding='utf-8') as sink:
            sink.writelines(lines)
        return path

    async def explain(self, request_id: str, *files: str):
        """Run the command on log files and return its report."""
        arguments = argparse.Namespace(id=request_id, files=list(files))
        sources = Sources('http://127.0.0.1:9', '127.0.0.1:9')
        async with sources:
            return await ctlexplain.explain(sources, arguments)

    async def test_lines_of_several_nodes_are_sorted_by_time(self):
        """Lines are ordered across files, and the final one is found."""
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

    async def test_unreadable_lines_are_counted(self):
        """Malformed and oversized lines must not stop the search."""
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

    async def test_unknown_id_and_missing_file(self):
        """An id without lines gives exit code 1, a missing file an error."""
        log = self.write('a.log', line(1, 'entry', 'refused request=78 '))
        report = await self.explain('77', log)
        self.assertEqual(report.exit_code, 1)
        with self.assertRaises(InputError):
            await self.explain('77', 'no-such.log')
