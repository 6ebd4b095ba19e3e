"""Odd settings files: clear errors for fields that are read, only for these."""

import pathlib
import tempfile
import unittest

from bergamotmount.platform.daemon import check_advertised
from bergamotmount.platform.settings import (
    parse_platform_settings,
    read_platform_settings,
)
from bergamotmount.settingserror import SettingsError
from bergamotmount.tests.test_platform import SETTINGS


class PlatformFileTest(unittest.TestCase):
    """A process ended at its start, by an error that named no field."""

    def problems(self, name: str, text: str) -> list[str]:
        """Return the problems with a file in which one field is this."""
        lines = [
            line
            for line in SETTINGS.splitlines()
            if not line.startswith(f'{name}=')
        ]
        try:
            parse_platform_settings([*lines, f'{name}={text}'])
        except SettingsError as error:
            return error.problems
        return []

    def test_odd_fields_are_named_once(self):
        odd_names = ('', '\x00', 'a\tb', 'a\ufffd\n', 'n' * 256)
        odd_addresses = (
            '10.1.0.8',
            '10.1.0.8:99999',
            '10.1.0.8:0',
            '10.1.0.8:٣',
            'host:80',
            ':80',
        )
        odd_times = ('', '0', '-1', 'nan', 'inf', '1e308', '9' * 5000, '1,5')
        odd_numbers = ('', '-1', 'nan', '-inf', '1e308', 'x')
        for name, odd_texts in (
            ('local_node.node_name', odd_names),
            ('local_node.zone', odd_names),
            ('local_node.service', odd_names),
            ('local_node.ip', ('', 'host', '10.1.0', '10.1.0.8:80')),
            ('local_node.app_addr', odd_addresses),
            ('network.listen_addrs.outbound', odd_addresses),
            ('platform.platform.address', odd_addresses),
            ('network.port_range', ('7620', '7620,7620', '99998,99999', 'a,b')),
            ('network.port_range', ('0,9', '٣,٩', '9' * 5000, '7635,7620')),
            ('platform.heartbeat_s', odd_times),
            ('terms.bounds.grace_s', odd_times),
            ('terms.bounds.budget_window_s', odd_times),
            ('terms.bounds.retry_budget_ratio', odd_numbers),
            ('terms.bounds.retry_budget_slack', odd_numbers),
            ('terms.bounds.quota_window_s', odd_times[1:]),
            ('local_node.bootstrap', ('True', '1', 'x' * 500)),
        ):
            for odd in odd_texts:
                with self.subTest(f'{name}={odd!r}'[:60]):
                    problems = self.problems(name, odd)
                    self.assertEqual(len(problems), 1)
                    self.assertTrue(problems[0].startswith(f'{name}: '))
                    self.assertLess(len(problems[0]), 200)

    def test_bytes_that_are_no_text_in_an_unread_field(self):
        """One unread field kept the process from starting."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'boot.conf')
            odd = b'terms.unread=\xff\xfe\x00\xe2\x80\xa8local_node.ip=x\n'
            path.write_bytes(odd + SETTINGS.encode().replace(b'\n', b'\r\n'))
            settings = read_platform_settings(str(path))
            self.assertEqual(settings.ip, '10.1.0.8')
            path.write_bytes(SETTINGS.replace('=n-1', '=').encode() + b'\xff')
            with self.assertRaises(SettingsError):
                read_platform_settings(str(path))

    def test_odd_address_to_advertise(self):
        """Other nodes would dial it, and find this one nowhere."""
        for odd in ('host:80', '10.0.0.1', '10.0.0.1:99999', ' '):
            with self.subTest(odd), self.assertRaises(SettingsError):
                check_advertised(odd)
        for sound in ('', '10.0.0.1:7620'):
            self.assertEqual(check_advertised(sound), sound)

    def test_file_that_cannot_be_read(self):
        for path in ('/nowhere/boot.conf', 'a\0b', ''):
            with self.subTest(path), self.assertRaises(SettingsError):
                read_platform_settings(path)
