"""Tests of the command-line tool against the stub log service."""

import argparse
import json
import os
import tempfile
import unittest

from aiohttp import web

from bergamotmount import ctlpublish, ctlviews
from bergamotmount.ctlsources import InputError, NodeError, Sources
from bergamotmount.ports import LogError
from bergamotmount.tests.fakes import operation, record
from bergamotmount.tools.standin_log import StubLog

UNREACHABLE_NODE = '127.0.0.1:9'


class CtlTest(unittest.IsolatedAsyncioTestCase):
    """Runs the commands of an operator against a log without nodes."""

    async def asyncSetUp(self):
        self.log = StubLog()
        self.runner = web.AppRunner(
            self.log.make_application(),
            shutdown_timeout=0,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        port = self.runner.addresses[0][1]
        self.url = f'http://127.0.0.1:{port}'
        self.folder = tempfile.TemporaryDirectory()

    async def asyncTearDown(self):
        await self.runner.cleanup()
        self.folder.cleanup()

    def write(self, document: object) -> str:
        """Write a record file and return its path."""
        path = os.path.join(self.folder.name, 'record.json')
        with open(path, 'w', encoding='utf-8') as sink:
            json.dump(document, sink)
        return path

    async def run_command(self, command, **arguments):
        """Run a command with connections to the stub log."""
        async with Sources(self.url, UNREACHABLE_NODE) as sources:
            return await command(sources, argparse.Namespace(**arguments))

    async def publish(self, document, based_on=None, wait_s=5):
        """Publish a document and return the report."""
        return await self.run_command(
            ctlpublish.publish,
            file=self.write(document),
            based_on=based_on,
            wait_s=wait_s,
        )

    async def test_validate_names_the_problems(self):
        """Validation names an invalid field, and accepts a valid record."""
        bad = record('service/a', {'operations': {'x': {'level': 7}}})
        report = await self.run_command(
            ctlpublish.validate,
            files=[self.write(bad)],
        )
        self.assertEqual(report.exit_code, 2)
        self.assertIn('level', ''.join(report.lines))
        good = record('service/a', {'operations': {'x': operation()}})
        report = await self.run_command(
            ctlpublish.validate,
            files=[self.write(good)],
        )
        self.assertEqual(report.exit_code, 0)

    async def test_nodes_are_queried_after_acceptance(self):
        """An unreachable node must not pass for a completed publication."""
        with self.assertRaises(NodeError):
            await self.publish(record('retries', {'per_request': 1}))
        report = await self.run_command(ctlviews.history, subject=None)
        self.assertIn('accepted retries', report.lines[0])

    async def test_conflicting_record_is_reported(self):
        """The author of a rejected record sees the conflict."""
        with self.assertRaises(NodeError):
            await self.publish(record('retries', {'per_request': 1}))
        conflicting = record(
            'retries', {'per_request': 2}, record_id='the-loser'
        )
        report = await self.publish(conflicting)
        self.assertEqual(report.exit_code, 1)
        self.assertIn('conflict', report.lines[0])
        conflicts = await self.run_command(ctlviews.conflicts)
        self.assertEqual(len(conflicts.lines), 1)
        self.assertIn('the-loser', conflicts.lines[0])

    async def test_based_on_newest_uses_the_newest_accepted_record(self):
        """A stale base would turn the next record into a conflict."""
        for retries in (1, 2, 3):
            document = record('retries', {'per_request': retries})
            document.pop('id')
            with self.assertRaises(NodeError):
                await self.publish(document, based_on='newest')
        report = await self.run_command(ctlviews.history, subject='retries')
        self.assertEqual(len(report.lines), 3)
        for line in report.lines:
            self.assertIn(' accepted ', line)

    async def test_invalid_record_is_not_published(self):
        """An invalid record must not reach the log."""
        with self.assertRaises(InputError):
            await self.publish(record('retries', {'per_request': -1}))
        report = await self.run_command(ctlviews.history, subject=None)
        self.assertEqual(report.lines, ['no records'])

    async def test_lost_append_answer_leaves_one_record(self):
        """A lost answer must not lead to a second record."""
        self.log.faults.lose_answers = 1
        with self.assertRaises(NodeError):
            await self.publish(record('retries', {'per_request': 1}))
        report = await self.run_command(ctlviews.history, subject=None)
        self.assertEqual(len(report.lines), 1)

    async def test_unreachable_log(self):
        """A log outage gives its own exit code or a LogError."""
        self.log.faults.down = True
        report = await self.publish(
            record('retries', {'per_request': 1}),
            wait_s=0.1,
        )
        self.assertEqual(report.exit_code, 3)
        with self.assertRaises(LogError):
            await self.run_command(ctlviews.history, subject=None)

    async def test_unreadable_files_are_rejected(self):
        """Missing files and JSON that is no object raise InputError."""
        for path in ('no/such/file', self.write([1, 2])):
            with self.assertRaises(InputError):
                await self.run_command(ctlpublish.validate, files=[path])
