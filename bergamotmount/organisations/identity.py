"""Identity: the organisation that a request belongs to.

A request carries its key in the ``Authorization`` header::

    read_credentials([('Authorization', 'Bearer k1')], 'Bearer')   # 'k1'
"""

import dataclasses
from collections.abc import Iterable

from bergamotmount.organisations.keyring import KeyRing
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.reasons import DenialReason

AUTHORIZATION_HEADER = 'Authorization'

_AUTHORIZATION = AUTHORIZATION_HEADER.lower()


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request doesn't carry a key that is accepted."""

    reason: DenialReason


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """The request may be forwarded.

    ``organisation`` is ``None`` for a request without a key on a public route.
    """

    organisation: Organisation | None = None


Identity = Identified | Denied

ANONYMOUS = Identified()


def read_credentials(
    headers: Iterable[tuple[str, str]], scheme: str
) -> str | DenialReason:
    """Return the key in the headers of a request, or why there is none.

    The name of the scheme is compared without regard to case.
    """
    credentials = [
        text for name, text in headers if name.lower() == _AUTHORIZATION
    ]
    if not credentials:
        return DenialReason.KEY_MISSING
    if len(credentials) > 1:
        return DenialReason.KEY_REPEATED
    stated_scheme, _, key = credentials[0].partition(' ')
    key = key.strip(' ')
    if stated_scheme.lower() != scheme.lower() or not key or ' ' in key:
        return DenialReason.KEY_MALFORMED
    return key


def identify(
    credentials: str | DenialReason, key_ring: KeyRing, is_public: bool
) -> Identity:
    """Return whether a request with these credentials may be forwarded.

    A request on a public route needs no key. If it carries one all the same,
    the key must be accepted.
    """
    match credentials:
        case DenialReason():
            return ANONYMOUS if is_public else Denied(credentials)
        case str():
            organisation = key_ring.find(credentials)
            if organisation is None:
                return Denied(DenialReason.KEY_UNKNOWN)
            return Identified(organisation)
