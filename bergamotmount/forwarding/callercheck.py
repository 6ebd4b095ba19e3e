"""Caller check: whether a request may be forwarded, and for whom."""

from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.routetable import Route, RouteTable
from bergamotmount.organisations.freshness import PolicyFreshness
from bergamotmount.organisations.identity import (
    ANONYMOUS,
    Identity,
    identify,
    read_credentials,
)
from bergamotmount.outcomes import NotRun
from bergamotmount.reasons import DenialReason, RefusalReason


class CallerCheck:
    """Finds the organisation of a request by its key.

    A key is neither accepted nor denied by a policy that may be outdated: it
    may have been withdrawn, or added, since.
    """

    def __init__(
        self, header_names: HeaderNames, freshness: PolicyFreshness
    ) -> None:
        """Accept keys while ``freshness`` allows it."""
        self._header_names = header_names
        self._freshness = freshness

    def check(
        self, request: HttpRequest, route: Route, table: RouteTable
    ) -> Identity | NotRun:
        """Return who sent a request, or why it isn't forwarded."""
        if table.key_ring is None:
            return ANONYMOUS
        credentials = read_credentials(
            request.headers, self._header_names.key_scheme
        )
        needs_no_key = route.is_public and isinstance(credentials, DenialReason)
        if not needs_no_key and not self._freshness.is_fresh:
            return NotRun(RefusalReason.NO_FRESH_POLICY)
        return identify(credentials, table.key_ring, route.is_public)
