"""HTTP interface for callers: outside clients and the local backend server."""

import contextlib
import json
import math
import re

from aiohttp import web
from multidict import CIMultiDict

from bergamotmount.adapters import headers
from bergamotmount.adapters.boundedserver import BoundedServer
from bergamotmount.clock import Clock
from bergamotmount.egress import Egress
from bergamotmount.memoryaccount import Holding, HoldingKind, MemoryAccount
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.rank import LEVELS
from bergamotmount.reasons import RefusalReason
from bergamotmount.request import Request
from bergamotmount.ticketissuer import TicketIssuer

#: Default maximum size of a request body in bytes.
MAX_BODY_BYTES = 1 << 20

#: Maximum length of the request line and of each header, in bytes.
MAX_HEADER_BYTES = 8190

#: Maximum number of tickets in one request for tickets.
MAX_TICKETS_PER_REQUEST = 100

#: Maximum length of a request id that is echoed, in characters.
MAX_REQUEST_ID_CHARS = 128

_NAME = re.compile('[a-z][a-z0-9_-]{0,62}')
_MAX_DEADLINE_MS = 3_600_000
_MS_PER_SECOND = 1000

_STATUS_BY_REASON = {
    RefusalReason.TICKET_MISSING: 428,
    RefusalReason.TICKET_INVALID: 400,
    RefusalReason.TICKET_VOID: 409,
    RefusalReason.UNKNOWN_OPERATION: 404,
    RefusalReason.UNKNOWN_PARENT: 403,
    RefusalReason.UNDECLARED_CALLEE: 403,
    RefusalReason.TOO_DEEP: 400,
    RefusalReason.BAD_HEADER: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.DEADLINE_PASSED: 408,
}
_STATUS_REFUSED = 503
_STATUS_UNKNOWN = 504


class CallerError(Exception):
    """A request of a caller is invalid."""

    def __init__(self, reason: RefusalReason, detail: str) -> None:
        """Create the error with the reason and detail of the response."""
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


def _no_memory() -> CallerError:
    """Return the refusal of a request that has not been passed on."""
    return CallerError(RefusalReason.NO_MEMORY, 'too much is held for callers')


class CallerServer:
    """Accepts requests of callers and responds with their outcomes."""

    def __init__(
        self,
        egress: Egress,
        issuer: TicketIssuer,
        max_body_bytes: int = MAX_BODY_BYTES,
        account: MemoryAccount | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Send requests through ``egress``; ``issuer`` creates tickets.

        What connections and bodies hold counts in ``account``.
        """
        self._account = account or MemoryAccount(Clock())
        self._max_connections = max_connections
        self._egress = egress
        self._issuer = issuer
        self._max_body_bytes = max_body_bytes
        self._is_closing = False

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self._is_closing = True

    def make_server(self) -> web.Server:
        """Return the HTTP server.

        A request is cancelled when its caller disconnects.
        """
        return BoundedServer(
            self.respond,
            self._account,
            self._max_connections,
            handler_cancellation=True,
            access_log=None,
            tcp_keepalive=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def respond(
        self,
        http_request: web.BaseRequest,
    ) -> web.StreamResponse:
        """Return the response to one HTTP request."""
        try:
            response = await self._dispatch(http_request)
        except CallerError as error:
            self._egress.count_refusal(error.reason)
            refusal = NotRun(error.reason, detail=error.detail)
            response = to_response(refusal)
        if self._is_closing:
            response.force_close()
        return response

    async def _dispatch(
        self,
        http_request: web.BaseRequest,
    ) -> web.StreamResponse:
        segments = http_request.path.split('/')
        match segments:
            case ['', 'call', service, operation]:
                with contextlib.closing(self._hold(http_request)) as holding:
                    body = await self._read_body(http_request, holding)
                    request = to_request(http_request, service, operation, body)
                    response = to_response(await self._egress.call(request))
                return _echo_request_id(http_request, response)
            case ['', 'tickets', service] if http_request.method == 'POST':
                return self._issue_tickets(http_request, service)
            case _:
                return web.json_response({'error': 'no such path'}, status=404)

    def _issue_tickets(
        self,
        http_request: web.BaseRequest,
        service: str,
    ) -> web.Response:
        count = _parse_int(
            http_request.query.get('count', '1'),
            'count',
            1,
            MAX_TICKETS_PER_REQUEST,
        )
        tickets = [
            self._issuer.issue_for_service(service) for _ in range(count)
        ]
        if not tickets[0]:
            return to_response(NotRun(RefusalReason.NO_SERVER))
        return web.json_response({'tickets': tickets}, status=201)

    def _hold(self, http_request: web.BaseRequest) -> Holding:
        """Return the holding of a request; it is refused when it is shed."""
        stream = http_request.content
        return self._account.open(
            HoldingKind.CALLER, lambda: stream.set_exception(_no_memory())
        )

    async def _read_body(
        self, http_request: web.BaseRequest, holding: Holding
    ) -> bytes:
        length = http_request.content_length or 0
        if length > self._max_body_bytes:
            raise CallerError(
                RefusalReason.BODY_TOO_LARGE,
                f'body of {length} bytes, at most {self._max_body_bytes}',
            )
        if not http_request.body_exists:
            return b''
        body = bytearray()
        async for chunk in http_request.content.iter_any():
            body.extend(chunk)
            if len(body) > self._max_body_bytes:
                raise CallerError(
                    RefusalReason.BODY_TOO_LARGE,
                    f'body over {self._max_body_bytes} bytes',
                )
            holding.move()
            holding.update(len(body), len(body))
        if not self._account.admits(len(body)):
            raise _no_memory()
        # The complete body is copied once, and then waits for its answer.
        holding.update(2 * len(body))
        return bytes(body)


def to_request(
    http_request: web.BaseRequest,
    service: str,
    operation: str,
    body: bytes,
) -> Request:
    """Convert an HTTP request.

    Raise :class:`CallerError` when a name or a header isn't valid.
    """
    for name in (service, operation):
        if not _NAME.fullmatch(name):
            raise CallerError(
                RefusalReason.UNKNOWN_OPERATION,
                'a service or operation is named by letters, digits, _ and -',
            )
    request_headers = http_request.headers
    request = Request(
        service,
        operation,
        http_request.method,
        headers.forwarded_headers(request_headers),
        body,
        ticket=request_headers.get(headers.TICKET, ''),
        parent=request_headers.get(headers.PARENT, ''),
    )
    deadline = request_headers.get(headers.DEADLINE)
    if deadline is not None:
        request.deadline_ms = _parse_int(
            deadline,
            headers.DEADLINE,
            -_MAX_DEADLINE_MS,
            _MAX_DEADLINE_MS,
        )
    level = request_headers.get(headers.LEVEL)
    if level is not None:
        request.level = _parse_int(level, headers.LEVEL, 0, LEVELS - 1)
    return request


def to_response(outcome: Outcome) -> web.Response:
    """Convert an outcome to an HTTP response."""
    match outcome:
        case Answered(status, flat_headers, body):
            response_headers: CIMultiDict[str] = CIMultiDict(
                headers.to_pairs(flat_headers),
            )
            response_headers[headers.OUTCOME] = 'answered'
            return web.Response(
                status=status,
                headers=response_headers,
                body=body,
            )
        case NotRun():
            return _refusal_response(outcome)
        case Unknown(reason):
            response_headers = CIMultiDict(
                {
                    headers.OUTCOME: 'unknown',
                    headers.REASON: reason,
                }
            )
            text = json.dumps({'outcome': 'unknown', 'reason': reason})
            return _json_response(_STATUS_UNKNOWN, response_headers, text)


def _refusal_response(refusal: NotRun) -> web.Response:
    response_headers: CIMultiDict[str] = CIMultiDict(
        {
            headers.OUTCOME: 'not-run',
            headers.REASON: refusal.reason,
        }
    )
    status = _STATUS_BY_REASON.get(refusal.reason, _STATUS_REFUSED)
    if refusal.retry_after_ms or status == _STATUS_REFUSED:
        wait_ms = refusal.retry_after_ms
        seconds = max(math.ceil(wait_ms / _MS_PER_SECOND), 1)
        response_headers[headers.RETRY_AFTER] = str(seconds)
        response_headers[headers.RETRY_AFTER_MS] = str(wait_ms)
    if refusal.ticket:
        response_headers[headers.TICKET] = refusal.ticket
    document = {'outcome': 'not-run', 'reason': refusal.reason}
    if refusal.detail:
        document['detail'] = refusal.detail
    return _json_response(status, response_headers, json.dumps(document))


def _json_response(
    status: int,
    response_headers: CIMultiDict[str],
    text: str,
) -> web.Response:
    return web.Response(
        status=status,
        headers=response_headers,
        text=text,
        content_type='application/json',
    )


def _echo_request_id(
    http_request: web.BaseRequest,
    response: web.Response,
) -> web.Response:
    request_id = http_request.headers.get(headers.REQUEST_ID)
    if request_id is not None and len(request_id) <= MAX_REQUEST_ID_CHARS:
        response.headers[headers.REQUEST_ID] = request_id
    return response


def _parse_int(text: str, name: str, minimum: int, maximum: int) -> int:
    try:
        number = int(text)
    except ValueError:
        number = maximum + 1
    if minimum <= number <= maximum:
        return number
    raise CallerError(
        RefusalReason.BAD_HEADER,
        f'{name}: a whole number from {minimum} to {maximum}',
    )
