"""The three outcomes of a request.

A request is answered, or it was not run, or it isn't known whether it ran.
The layers hand these data classes up instead of raising: a refusal is an
expected result with a reason, and callers ``match`` on it::

    match await egress.call(request):
        case Answered(status=status):
            ...
        case NotRun(reason=reason, retry_after_ms=wait_ms):
            ...
        case Unknown(reason=reason):
            ...
"""

import dataclasses

from bergamotmount.reasons import RefusalReason, UnknownReason


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Complete answer of a backend server.

    ``headers`` alternates names and values; ``status`` is an HTTP status.
    """

    status: int
    headers: list[str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Refusal: the request was not run, by any backend server.

    ``retry_after_ms`` says when to come back, 0 for no advice. ``ticket`` is
    a fresh ticket for another attempt at a non-idempotent request, or empty.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    ticket: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nobody here can tell."""

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown
