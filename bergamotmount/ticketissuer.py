"""Issues tickets for homes that the router selects."""

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.routing import Router
from bergamotmount.ticket import Ticket, TicketSigner


class TicketIssuer:
    """Issues tickets to callers and for calls between services."""

    def __init__(
        self,
        clock: Clock,
        router: Router,
        signer: TicketSigner,
        life_ms: int,
    ) -> None:
        """Issue tickets that expire after ``life_ms`` milliseconds."""
        self._clock = clock
        self._router = router
        self._signer = signer
        self._life_ms = life_ms

    def issue_for_service(self, service: str, avoid: str = '') -> str:
        """Return a ticket for a service, empty if no server is known.

        ``avoid`` names a node that is selected only if there is no other.
        """
        server = None
        if avoid:
            server = self._router.pick(service, (avoid,))
        server = server or self._router.pick(service, ())
        return self.issue_for_server(server) if server else ''

    def issue_for_server(self, server: Member) -> str:
        """Return a ticket whose home is this incarnation of a server."""
        return self._signer.sign(
            server.service,
            server.node,
            server.incarnation,
            self._clock.wall_ms() + self._life_ms,
        )

    def verify(self, text: str) -> Ticket | None:
        """Return the ticket, ``None`` if its signature isn't valid."""
        return self._signer.verify(text)
