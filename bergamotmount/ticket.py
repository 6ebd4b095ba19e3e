"""Tickets: each names the only process that may run a non-idempotent request.

A ticket is signed for a home, one incarnation of one node. Only that process
runs the request, and it stores the ticket until it expires. Tickets are never
transferred to another home, so no fencing is needed; the cost is that the
outcome stays unknown when the home fails::

    text = TicketSigner(key).sign('billhouse', 'billhouse-1', 7, expiry_ms)
    ticket = TicketSigner(key).verify(text)
    assert ticket.home == 'billhouse-1'
"""

import dataclasses
import hashlib
import hmac
import secrets

_SEPARATOR = '~'
_FIELD_COUNT = 6
_MAC_BYTES = 12
_ID_BYTES = 9

#: Maximum length of a ticket, in characters; longer ones are rejected.
MAX_TICKET_LENGTH = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request in one process.

    ``expiry_ms`` is wall-clock time in milliseconds, and only the home
    compares it with its clock.
    """

    ticket_id: str
    service: str
    home: str
    incarnation: int
    expiry_ms: int


class TicketSigner:
    """Signs and verifies tickets with a key that all nodes share."""

    def __init__(self, key: str) -> None:
        """Sign with ``key``, in the daemon the setting ``[tickets] key``."""
        self._key = key.encode()

    def sign(
        self,
        service: str,
        home: str,
        incarnation: int,
        expiry_ms: int,
    ) -> str:
        """Return a new signed ticket as text."""
        ticket_id = secrets.token_hex(_ID_BYTES)
        fields = (ticket_id, service, home, str(incarnation), str(expiry_ms))
        text = _SEPARATOR.join(fields)
        return f'{text}{_SEPARATOR}{self._mac(text)}'

    def verify(self, text: str) -> Ticket | None:
        """Return the ticket, ``None`` if it wasn't signed with this key."""
        if len(text) > MAX_TICKET_LENGTH:
            return None
        fields = text.split(_SEPARATOR)
        if len(fields) != _FIELD_COUNT:
            return None
        signed, _, mac = text.rpartition(_SEPARATOR)
        if not hmac.compare_digest(self._mac(signed).encode(), mac.encode()):
            return None
        ticket_id, service, home, incarnation, expiry_ms, _ = fields
        return Ticket(
            ticket_id,
            service,
            home,
            int(incarnation),
            int(expiry_ms),
        )

    def _mac(self, text: str) -> str:
        digest = hashlib.blake2b(
            text.encode(),
            key=self._key,
            digest_size=_MAC_BYTES,
        )
        return digest.hexdigest()
