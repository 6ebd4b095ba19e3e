"""What a response of the backend server says about the request.

A request counts as not run only if the server says so, about this send of it.
All else that isn't the server's whole answer leaves it unknown::

    classifier = ResponseClassifier(HeaderNames(), lambda: 400)
    if classifier.answers(response, request_id, connection):
        outcome = classifier.outcome_of(response, is_idempotent=False)
"""

from collections.abc import Callable

from bergamotmount.forwarding.headers import HeaderNames
from bergamotmount.forwarding.http import (
    CONNECTION_HEADERS,
    NOT_RUN_STATUSES,
    HttpResponse,
    forwarded_headers,
    header_of,
)
from bergamotmount.forwarding.serverconnection import ServerConnection
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import RefusalReason, UnknownReason

_MISDIRECTED = 421
_SUCCESSES = range(200, 300)


class ResponseClassifier:
    """Translates responses of one server into outcomes."""

    def __init__(
        self, header_names: HeaderNames, retry_after_ms: Callable[[], int]
    ) -> None:
        """Read the given headers; refusals advise ``retry_after_ms``."""
        self._names = header_names
        self._retry_after_ms = retry_after_ms

    def answers(
        self,
        response: HttpResponse,
        request_id: str,
        connection: ServerConnection,
    ) -> bool:
        """Return whether a response answers the request with this id.

        A response without an id is accepted only on a new connection: on a
        reused one it may be a late answer to an earlier request.
        """
        answered_id = self.request_id_of(response)
        if answered_id is None:
            return connection.requests == 1
        return answered_id == request_id

    def request_id_of(self, response: HttpResponse) -> str | None:
        """Return the id of the request that a response names."""
        return header_of(response.headers, self._names.request_id)

    def is_signed(self, response: HttpResponse) -> bool:
        """Return whether the server marked a response as its own."""
        return header_of(response.headers, self._names.signature) is not None

    def is_misdirected(self, response: HttpResponse) -> bool:
        """Return whether another server than the intended one responded."""
        return response.status == _MISDIRECTED and not self._is_refusal(
            response
        )

    def outcome_of(
        self, response: HttpResponse, is_idempotent: bool
    ) -> Outcome:
        """Return the outcome that a response stands for.

        Callers take some statuses for "not run"; one that isn't marked as such
        must not reach them for a request that may not run twice.
        """
        if self._is_refusal(response):
            return self._not_run(RefusalReason.SERVER_SHED, may_return=True)
        if self.is_misdirected(response):
            return self._not_run(RefusalReason.NOT_SERVING)
        if response.status in NOT_RUN_STATUSES and not is_idempotent:
            return Unknown(UnknownReason.UNMARKED_REFUSAL)
        if not self._is_whole(response):
            return Unknown(UnknownReason.ANSWER_INCOMPLETE)
        flat = forwarded_headers(response.headers, CONNECTION_HEADERS)
        return Answered(response.status, flat, response.body)

    def _is_refusal(self, response: HttpResponse) -> bool:
        return header_of(response.headers, self._names.not_run) is not None

    def _is_whole(self, response: HttpResponse) -> bool:
        if header_of(response.headers, 'Content-Encoding') is not None:
            return False
        return response.status not in _SUCCESSES or self.is_signed(response)

    def _not_run(
        self, reason: RefusalReason, may_return: bool = False
    ) -> NotRun:
        return NotRun(reason, self._retry_after_ms(), may_return=may_return)
