"""Fingerprint of a request: tells whether two attempts ask for the same."""

import xxhash


def fingerprint(method: str, subject: str, body: bytes) -> int:
    """Return a hash of what a request asks for.

    ``subject`` names the operation, or the route and path, it is sent to::

        fingerprint('POST', 'billhouse/invoice', b'{"client": 7}')
    """
    digest = xxhash.xxh64(body)
    digest.update(f'{method} {subject}'.encode())
    return digest.intdigest()
