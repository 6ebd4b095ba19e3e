"""Fingerprint of a request: tells whether two attempts ask for the same."""

import xxhash


def fingerprint(method: str, subject: str, body: bytes) -> int:
    """Return a hash of what a request asks for, of 63 bits.

    ``subject`` names the operation, or the route and path, it is sent to::

        fingerprint('POST', 'billhouse/invoice', b'{"client": 7}')
    """
    digest = xxhash.xxh64(body)
    digest.update(f'{method} {subject}'.encode())
    # It must fit a signed integer in messages between nodes.
    return digest.intdigest() >> 1
