"""Key ring: finds the organisation that holds a key.

Keys are looked up by digests that only this process can compute, so the time
of a lookup doesn't depend on how much of a guessed key is right. The policy
record itself, with the keys, stays in memory to be passed on to peers.
"""

import hashlib
import secrets
from collections.abc import Iterable

from bergamotmount.log import part_logger
from bergamotmount.organisations.organisation import Organisation

_DIGEST_BYTES = 16
_PROCESS_SECRET = secrets.token_bytes(_DIGEST_BYTES)

_log = part_logger('organisations')


class KeyRing:
    """The keys of all organisations of one policy version::

    ring = KeyRing([Organisation('acme', keys=('k1',))])
    ring.find('k1').name    # 'acme'
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        """Index the keys; one that two organisations hold is not accepted."""
        self._holder_by_digest: dict[bytes, Organisation] = {}
        ambiguous: set[bytes] = set()
        for organisation in organisations:
            for key in organisation.keys:
                digest = _digest(key.encode())
                holder = self._holder_by_digest.setdefault(digest, organisation)
                if holder.name != organisation.name:
                    ambiguous.add(digest)
                    _log.warning(
                        'Key not accepted: held by both {} and {}.',
                        holder.name,
                        organisation.name,
                    )
        for digest in ambiguous:
            self._holder_by_digest.pop(digest)

    def find(self, key: str) -> Organisation | None:
        """Return the holder of a key, ``None`` if nobody holds it.

        The key is that of a header: each character stands for one byte.
        """
        packed = key.encode('latin-1', errors='backslashreplace')
        return self._holder_by_digest.get(_digest(packed))


def _digest(packed: bytes) -> bytes:
    return hashlib.blake2b(
        packed, digest_size=_DIGEST_BYTES, key=_PROCESS_SECRET
    ).digest()
