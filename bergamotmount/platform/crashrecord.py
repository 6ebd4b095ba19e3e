"""Encodes the crashes under a quarantined request in the platform's store."""

import re

import msgspec

from bergamotmount.fieldchecks import is_name
from bergamotmount.jsoninput import JsonError, decode_json
from bergamotmount.platform.memberrecord import (
    MAX_WIRE_INTEGER,
    EntryError,
)
from bergamotmount.reports import CrashReport

#: Prefix of the keys of crashes. Names of nodes don't contain a slash.
_PREFIX = 'crashes/'
_HEX = 16
_FINGERPRINT = re.compile('[0-9a-f]{16}')

#: Number of servers in a record that count; far fewer quarantine a request.
MAX_SERVERS = 64

_decoder = msgspec.json.Decoder(list[str])


def crashes_key(fingerprint: int) -> str:
    """Return the key of the crashes under a request."""
    return f'{_PREFIX}{fingerprint:016x}'


def is_crashes_key(key: str) -> bool:
    """Return whether a key is that of crashes, rather than of a node."""
    return key.startswith(_PREFIX)


def pack_servers(servers: list[str]) -> bytes:
    """Return the record of the servers that crashed."""
    return msgspec.json.encode(servers)


def parse_crashes(key: str, packed: bytes) -> list[CrashReport]:
    """Return the crashes in a record, as if they had just happened.

    The store keeps no age that could be compared with a node's clock. Names
    that no server can have are left out. Raise :class:`EntryError` when the
    record isn't one of crashes.
    """
    digits = key.removeprefix(_PREFIX)
    if not _FINGERPRINT.fullmatch(digits):
        raise EntryError('not the key of a fingerprint')
    fingerprint = int(digits, _HEX)
    if fingerprint > MAX_WIRE_INTEGER:
        raise EntryError('fingerprint is too large')
    try:
        servers = decode_json(_decoder.decode, packed)
    except JsonError as error:
        raise EntryError(str(error)) from error
    return [
        CrashReport(fingerprint, server)
        for server in servers[:MAX_SERVERS]
        if is_name(server)
    ]
