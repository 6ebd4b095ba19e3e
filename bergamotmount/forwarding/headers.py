"""Names of the HTTP headers that the forwarding node reads and sets.

The platform adapter replaces these defaults by the names of its platform.
"""

import dataclasses
import functools

from bergamotmount.forwarding.http import CONNECTION_HEADERS
from bergamotmount.organisations.identity import AUTHORIZATION_HEADER

_FIRST_PRINTABLE = ' '
_DELETE = '\x7f'


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names by purpose.

    ``signature`` marks a response that the server itself produced;
    ``not_run`` marks a refusal by a server that didn't run the request;
    ``caller`` names the calling service; ``instance`` names the server
    process that answers, ``target`` the one that a request is addressed to.
    ``rate_limit`` is the rate of requests that a server takes from all nodes
    together, ``leaving`` marks the responses of one that is about to stop.
    ``organisation`` names the organisation of a request to its server.
    ``key_scheme`` is the authorization scheme of the keys in requests.
    """

    request_id: str = 'Bergamot-Request-Id'
    deadline: str = 'Bergamot-Deadline-Ms'
    signature: str = 'Bergamot-Signature'
    not_run: str = 'Bergamot-Not-Run'
    target: str = 'Bergamot-Target'
    instance: str = 'Bergamot-Instance'
    caller: str = 'Bergamot-Caller'
    retry_after: str = 'Retry-After'
    rate_limit: str = 'Bergamot-Rate-Limit'
    leaving: str = 'Bergamot-Leaving'
    organisation: str = 'Bergamot-Organisation'
    key_scheme: str = 'Bearer'

    @functools.cached_property
    def removed_from_requests(self) -> frozenset[str]:
        """Lower-case names of request headers that aren't forwarded.

        Callers can't set the headers that the node sets towards servers.
        """
        set_by_node = {self.deadline, self.target, self.caller}
        return CONNECTION_HEADERS | {name.lower() for name in set_by_node}

    @functools.cached_property
    def removed_with_keys(self) -> frozenset[str]:
        """Like :attr:`removed_from_requests`, where requests carry keys.

        Servers that treat ``_`` in names like ``-`` must not be misled either.
        """
        organisation = self.organisation.lower()
        removed = {
            AUTHORIZATION_HEADER.lower(),
            organisation,
            organisation.replace('-', '_'),
        }
        return self.removed_from_requests | removed

    @functools.cached_property
    def signal_by_name(self) -> dict[str, str]:
        """Signals of servers by the lower-case names of their headers."""
        return {
            self.rate_limit.lower(): 'rate_limit',
            self.leaving.lower(): 'leaving',
        }

    @functools.cached_property
    def single_valued(self) -> frozenset[str]:
        """Lower-case names of headers that a request may carry only once."""
        return frozenset((self.request_id.lower(), self.deadline.lower()))


def is_header_text(text: str) -> bool:
    """Return whether a text can be sent as a header without being changed."""
    if not text or text != text.strip():
        return False
    return all(each >= _FIRST_PRINTABLE and each != _DELETE for each in text)
