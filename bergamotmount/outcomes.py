"""The three outcomes of a request.

A request is answered, or it was not run, or it isn't known whether it ran.
These data classes are returned instead of raising exceptions, because a
refusal is an expected result; callers ``match`` on them::

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
    """Refusal: no backend server has run the request.

    ``retry_after_ms`` is the advised delay before a retry, 0 for none.
    ``ticket`` is a new ticket for another attempt at a non-idempotent request,
    or empty. With ``may_return`` the node that refused may get the same request
    again: it can tell the answers to two sends apart.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    ticket: str = ''
    detail: str = ''
    may_return: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It isn't known whether the request was run; it may have been."""

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown
