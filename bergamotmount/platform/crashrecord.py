"""Encodes the crashes under a quarantined request in the platform's store."""

import msgspec

from bergamotmount.jsoninput import decode_json
from bergamotmount.platform.memberrecord import (
    MAX_WIRE_INTEGER,
    EntryError,
)
from bergamotmount.reports import CrashReport

#: Prefix of the keys of crashes. Names of nodes don't contain a slash.
_PREFIX = 'crashes/'
_HEX = 16

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

    The store keeps no age that could be compared with a node's clock. Raise
    :class:`EntryError` when the record isn't one of crashes.
    """
    try:
        fingerprint = int(key.removeprefix(_PREFIX), _HEX)
        servers = decode_json(_decoder.decode, packed)
    except ValueError as error:
        raise EntryError(str(error)) from error
    if not 0 <= fingerprint <= MAX_WIRE_INTEGER:
        raise EntryError(f'{key!r} is not the key of a fingerprint')
    return [CrashReport(fingerprint, server) for server in servers if server]
