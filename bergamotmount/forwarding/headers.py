"""Names of the headers that forwarding reads and sets.

The platform's adapter brings its own names; these defaults are the product's.
"""

import dataclasses
import functools

from bergamotmount.forwarding.http import CONNECTION_HEADERS


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Headers by what they hold.

    ``signature`` marks a server's own answer; ``not_run`` says that the
    server refused without running; ``caller`` names the calling service;
    ``instance`` names the process of a server that answers, ``target`` the
    one that a request is meant for.
    """

    request_id: str = 'Bergamot-Request-Id'
    deadline: str = 'Bergamot-Deadline-Ms'
    signature: str = 'Bergamot-Signature'
    not_run: str = 'Bergamot-Not-Run'
    target: str = 'Bergamot-Target'
    instance: str = 'Bergamot-Instance'
    caller: str = 'Bergamot-Caller'
    retry_after: str = 'Retry-After'

    @functools.cached_property
    def not_passed_to_servers(self) -> frozenset[str]:
        """Lower-case names that callers can't set towards servers."""
        own = {self.deadline, self.target, self.caller}
        return CONNECTION_HEADERS | {name.lower() for name in own}

    @functools.cached_property
    def once(self) -> frozenset[str]:
        """Lower-case names that a request may carry only once."""
        return frozenset((self.request_id.lower(), self.deadline.lower()))
