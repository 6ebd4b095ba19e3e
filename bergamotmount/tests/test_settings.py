"""Tests of the settings, and of the page that lists them."""

import os
import pathlib
import tempfile
import unittest

from bergamotmount.settings import DEFAULTS, SettingsError, read_settings

GOOD = """
[node]
name = a-1
failure_domain = fd-1
[tickets]
key = 0123456789abcdef
"""


class SettingsTest(unittest.TestCase):
    """All faults are reported at once, each with its place."""

    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'node.ini')
            with open(path, 'w', encoding='utf-8') as sink:
                sink.write(text)
            return read_settings(path)

    def test_defaults_fill_what_is_not_set(self):
        settings = self.read(GOOD)
        self.assertEqual(settings.heartbeat.interval_ms, 500)
        self.assertEqual(settings.join.seeds, ())

    def test_seeds_are_a_list(self):
        settings = self.read(f'{GOOD}[join]\nseeds = 10.0.0.1:1, 10.0.0.2:2\n')
        self.assertEqual(settings.join.seeds, ('10.0.0.1:1', '10.0.0.2:2'))

    def test_all_faults_at_once(self):
        with self.assertRaises(SettingsError) as caught:
            self.read(
                '[node]\nname = A 1\n[listen]\npeers = localhost:1\n'
                '[log]\nlevel = loud\n[heartbeat]\ninterval_ms = -5\nx = 1\n'
                '[what]\nx = 1\n',
            )
        text = str(caught.exception)
        for part in (
            '[node] name: found',
            '[node] failure_domain: not set',
            '[listen] peers',
            '[tickets] key: not set',
            "[log] level: found 'loud'",
            "[heartbeat] interval_ms: found '-5'",
            '[heartbeat] x: no such',
            '[what]',
        ):
            self.assertIn(part, text)

    def test_a_file_that_is_not_there_or_no_ini(self):
        with self.assertRaises(SettingsError):
            read_settings('no/such/file.ini')
        with self.assertRaises(SettingsError):
            self.read('no section = here')

    def test_the_page_lists_every_setting(self):
        page = pathlib.Path('docs/settings.md').read_text(encoding='utf-8')
        for section, options in DEFAULTS.items():
            self.assertIn(f'## [{section}]', page)
            for option, default in options.items():
                self.assertIn(f'| `{option}` |', page)
                self.assertIn(default, page)
