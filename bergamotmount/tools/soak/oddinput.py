"""Odd input of other writers, drawn from a seed: entries, messages, bytes.

None of it names a server to use, or states what a node could apply.
"""

import json
import random

from bergamotmount.wire.codec import FrameKind
from bergamotmount.wire.frames import pack_frame

_DEPTH = 5000
_NESTED = b'[' * _DEPTH + b']' * _DEPTH

#: Texts of JSON that no field takes.
_ODD_TEXTS = (
    b'1e400',
    b'9' * 400,
    b'-1',
    b'null',
    b'true',
    b'1.5',
    b'""',
    json.dumps('\0').encode(),
    json.dumps('\ud800').encode(),
    b'"\xff"',
    b'{}',
    _NESTED,
    b'[' * _DEPTH,
)

#: Fields of an entry of a node that a node could use.
_ENTRY = (b'"%s"', b'"region"', b'"east"', b'17', b'0')


def odd_entry(rng: random.Random, address: str) -> bytes:
    """Return an entry with one odd field, an odd port, or no entry at all."""
    fields = [_ENTRY[0] % address.encode(), *_ENTRY[1:]]
    kind = rng.randrange(4)
    if kind == 0:
        fields.append(_NESTED)
    elif kind == 1:
        host = address.rpartition(':')[0]
        port = rng.choice((0, -1, 65_536, 10**30))
        fields[0] = f'"{host}:{port}"'.encode()
    elif kind == 2:
        return rng.choice((*_ODD_TEXTS, rng.randbytes(40), b'['))
    else:
        fields[rng.randrange(len(fields))] = rng.choice(_ODD_TEXTS)
    return b'[%s]' % b','.join(fields)


def odd_announcement(rng: random.Random, address: str, service: str) -> bytes:
    """Return an announcement of a server that can't be one."""
    field = rng.choice(('born', 'slots', 'sequence', 'state', 'unread'))
    status = {'state': 'draining', 'sequence': 10**6}
    server_info = {
        'service': service,
        'slots': 16,
        'zone': 'any',
        'version': 'v1',
    }
    document: dict[str, object] = {
        'address': address,
        'born': 1,
        'status': status,
        'info': server_info,
    }
    for owner in (status, server_info, document):
        owner.pop(field, None)
    packed = json.dumps(document).encode()
    odd = _NESTED if field == 'unread' else rng.choice(_ODD_TEXTS[:3])
    for owner in ('status', 'info'):
        opening = f'"{owner}": {{'.encode()
        packed = packed.replace(
            opening, b'%s"%s": %s, ' % (opening, field.encode(), odd)
        )
    return packed[:-1] + b', "%s": %s}' % (field.encode(), odd)


def odd_policy(rng: random.Random) -> bytes:
    """Return a policy record that no node can apply."""
    odd = rng.choice(_ODD_TEXTS)
    record = b'{"version": "ffffffff", "routes": %s, "unread": %s}'
    return record % (odd, _NESTED)


def odd_bytes(rng: random.Random) -> bytes:
    """Return what a node of another release, or no node at all, may send."""
    payload = rng.choice(
        (
            rng.randbytes(60),
            b'',
            b'\x0c\x00\x63' * _DEPTH,
            b'\x0b\x00\x01\x7f\xff\xff\xff',
        )
    )
    kind = rng.choice((*FrameKind, 99, 1 << 16))
    return rng.choice((pack_frame(kind, payload), payload, b'GET / HTTP/1.1\r'))
