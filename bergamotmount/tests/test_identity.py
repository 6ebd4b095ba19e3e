"""Tests of keys: how requests state them, and who holds them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamotmount.organisations.identity import (
    ANONYMOUS,
    Denied,
    Identified,
    identify,
    read_credentials,
)
from bergamotmount.organisations.keyring import KeyRing
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.reasons import DenialReason

SCHEME = 'Bearer'


class ReadCredentialsTest(unittest.TestCase):
    """The key of a request is read from one well-formed header."""

    def test_key(self):
        """A caller that spells the scheme its own way could be denied."""
        for text in ('Bearer k1', 'bearer k1', 'BEARER   k1', 'Bearer k1 '):
            with self.subTest(text=text):
                self.assertEqual(
                    read_credentials([('authorization', text)], SCHEME), 'k1'
                )

    def test_no_key(self):
        """Two nodes could read different keys in one request."""
        malformed = DenialReason.KEY_MALFORMED
        for headers, reason in (
            ([('Host', 'shop')], DenialReason.KEY_MISSING),
            (
                [('Authorization', 'Bearer a'), ('AUTHORIZATION', 'Bearer a')],
                DenialReason.KEY_REPEATED,
            ),
            ([('Authorization', 'Basic k1')], malformed),
            ([('Authorization', 'k1')], malformed),
            ([('Authorization', 'Bearer')], malformed),
            ([('Authorization', 'Bearer ')], malformed),
            ([('Authorization', 'Bearer k1 k2')], malformed),
            ([('Authorization', 'Bearer\tk1')], malformed),
            ([('Authorization', '')], malformed),
        ):
            with self.subTest(headers=headers):
                self.assertEqual(read_credentials(headers, SCHEME), reason)

    @given(st.text(max_size=40))
    def test_any_header(self, text):
        """A malformed header could raise an error or yield a part of a key."""
        credentials = read_credentials([('Authorization', text)], SCHEME)
        if not isinstance(credentials, DenialReason):
            self.assertTrue(credentials)
            self.assertNotIn(' ', credentials)
            self.assertTrue(text.lower().startswith('bearer '))


class IdentifyTest(unittest.TestCase):
    """A key belongs to one organisation, or it isn't accepted."""

    def setUp(self) -> None:
        self.acme = Organisation('acme', ('k1', 'k2', 'shared'))
        self.key_ring = KeyRing((self.acme, Organisation('b', ('shared',))))

    def test_holder(self):
        """A request could run for another organisation."""
        for key in ('k1', 'k2'):
            self.assertEqual(
                identify(key, self.key_ring, is_public=False),
                Identified(self.acme),
            )

    def test_key_outside_ascii(self):
        """A header holds the bytes of a key, one per character."""
        holder = Organisation('c', ('schlüssel',))
        stated = 'schlüssel'.encode().decode('latin-1')
        self.assertEqual(KeyRing((holder,)).find(stated), holder)

    def test_key_that_nobody_holds_alone(self):
        """A key of two organisations names neither; it fails on all routes."""
        for key in ('k3', 'shared', 'K1', 'k1 ', '\udcff'):
            for is_public in (False, True):
                with self.subTest(key=key, is_public=is_public):
                    self.assertEqual(
                        identify(key, self.key_ring, is_public),
                        Denied(DenialReason.KEY_UNKNOWN),
                    )

    def test_request_without_key(self):
        """A public route needs no key, any other one does."""
        missing = DenialReason.KEY_MISSING
        self.assertEqual(identify(missing, self.key_ring, True), ANONYMOUS)
        self.assertEqual(
            identify(missing, self.key_ring, False), Denied(missing)
        )

    def test_keys_are_not_shown(self):
        """A key could end up in a log with a description of its holder."""
        self.assertNotIn('k1', repr(self.acme))
        self.assertNotIn('k1', repr(self.key_ring.__dict__))
