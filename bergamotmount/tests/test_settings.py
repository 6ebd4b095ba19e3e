"""Tests of the settings and of their documentation page."""

import os
import pathlib
import tempfile
import unittest

from bergamotmount.settings import DEFAULTS, SettingsError, read_settings

VALID_SETTINGS = """
[node]
name = a-1
failure_domain = fd-1
[tickets]
key = 0123456789abcdef
"""


class SettingsTest(unittest.TestCase):
    """All errors of a file are reported together, each with its location."""

    def read(self, text: str):
        """Write a settings file and read it."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'node.ini')
            with open(path, 'w', encoding='utf-8') as target:
                target.write(text)
            return read_settings(path)

    def test_defaults_apply_to_unset_options(self):
        """A file with only the required options is complete."""
        settings = self.read(VALID_SETTINGS)
        self.assertEqual(settings.heartbeat.interval_ms, 500)
        self.assertEqual(settings.join.seeds, ())

    def test_seeds_are_split_into_a_list(self):
        """Seeds separated by commas are read as separate addresses."""
        settings = self.read(
            f'{VALID_SETTINGS}[join]\nseeds = 10.0.0.1:1, 10.0.0.2:2\n'
        )
        self.assertEqual(settings.join.seeds, ('10.0.0.1:1', '10.0.0.2:2'))

    def test_all_errors_are_reported_together(self):
        """The first error does not hide the others in the same file."""
        with self.assertRaises(SettingsError) as caught:
            self.read(
                '[node]\nname = A 1\n[listen]\npeers = localhost:1\n'
                '[log]\nlevel = loud\n[heartbeat]\ninterval_ms = -5\nx = 1\n'
                '[what]\nx = 1\n',
            )
        text = str(caught.exception)
        for expected in (
            '[node] name: found',
            '[node] failure_domain: not set',
            '[listen] peers',
            '[tickets] key: not set',
            "[log] level: found 'loud'",
            "[heartbeat] interval_ms: found '-5'",
            '[heartbeat] x: no such',
            '[what]',
        ):
            self.assertIn(expected, text)

    def test_missing_or_malformed_file_is_rejected(self):
        """Errors of reading and parsing are raised as settings errors."""
        with self.assertRaises(SettingsError):
            read_settings('no/such/file.ini')
        with self.assertRaises(SettingsError):
            self.read('no section = here')

    def test_page_lists_every_setting(self):
        """The documentation lists each section, option and default."""
        page = pathlib.Path('docs/settings.md').read_text(encoding='utf-8')
        for section, options in DEFAULTS.items():
            self.assertIn(f'## [{section}]', page)
            for option, default in options.items():
                self.assertIn(f'| `{option}` |', page)
                self.assertIn(default, page)
