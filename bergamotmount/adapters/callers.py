"""HTTP towards callers: outside clients and the own backend server."""

import json
import math
import re

from aiohttp import web
from multidict import CIMultiDict

from bergamotmount.adapters import headers
from bergamotmount.egress import Egress
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.rank import LEVELS
from bergamotmount.reasons import RefusalReason
from bergamotmount.request import Request
from bergamotmount.ticketissuer import TicketIssuer

#: Largest request body in bytes, by default.
MAX_BODY_BYTES = 1 << 20

#: Longest header line in bytes.
MAX_HEADER_BYTES = 8190

#: Most tickets that one request may ask for.
MAX_TICKETS = 100

#: Longest request id that is echoed, in characters.
MAX_REQUEST_ID = 128

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
    """A caller's request that can't be understood."""

    def __init__(self, reason: RefusalReason, detail: str) -> None:
        """Keep what the caller is told."""
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class CallerServer:
    """Takes requests of callers by HTTP and answers with the outcome."""

    def __init__(
        self,
        egress: Egress,
        issuer: TicketIssuer,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Serve callers by ``egress``; ``issuer`` gives out tickets."""
        self._egress = egress
        self._issuer = issuer
        self._max_body_bytes = max_body_bytes
        self._is_closing = False

    def close_gently(self) -> None:
        """Close each connection with its next answer."""
        self._is_closing = True

    def make_server(self) -> web.Server:
        """Return the HTTP server; a caller that is gone cancels its request."""
        return web.Server(
            self.respond,
            handler_cancellation=True,
            access_log=None,
            tcp_keepalive=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def respond(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request."""
        try:
            response = await self._respond(http)
        except CallerError as error:
            self._egress.count_refusal(error.reason)
            refusal = NotRun(error.reason, detail=error.detail)
            response = to_response(refusal)
        if self._is_closing:
            response.force_close()
        return response

    async def _respond(self, http: web.BaseRequest) -> web.StreamResponse:
        parts = http.path.split('/')
        match parts:
            case ['', 'call', service, operation]:
                body = await self._read_body(http)
                request = to_request(http, service, operation, body)
                response = to_response(await self._egress.call(request))
                return _echo_request_id(http, response)
            case ['', 'tickets', service] if http.method == 'POST':
                return self._issue(http, service)
            case _:
                return web.json_response({'error': 'no such path'}, status=404)

    def _issue(self, http: web.BaseRequest, service: str) -> web.Response:
        count = _read_int(http.query.get('count', '1'), 'count', 1, MAX_TICKETS)
        tickets = [
            self._issuer.issue_for_service(service) for _ in range(count)
        ]
        if not tickets[0]:
            return to_response(NotRun(RefusalReason.NO_SERVER))
        return web.json_response({'tickets': tickets}, status=201)

    async def _read_body(self, http: web.BaseRequest) -> bytes:
        length = http.content_length or 0
        if length > self._max_body_bytes:
            raise CallerError(
                RefusalReason.BODY_TOO_LARGE,
                f'body of {length} bytes, at most {self._max_body_bytes}',
            )
        if not http.body_exists:
            return b''
        if http.content_length is not None:
            return await http.content.read(-1)
        return await self._read_unsized(http)

    async def _read_unsized(self, http: web.BaseRequest) -> bytes:
        body = bytearray()
        async for chunk in http.content.iter_any():
            body.extend(chunk)
            if len(body) > self._max_body_bytes:
                raise CallerError(
                    RefusalReason.BODY_TOO_LARGE,
                    f'body over {self._max_body_bytes} bytes',
                )
        return bytes(body)


def to_request(
    http: web.BaseRequest,
    service: str,
    operation: str,
    body: bytes,
) -> Request:
    """Return the request in an HTTP request.

    Raise :class:`CallerError` when a name or a header isn't valid.
    """
    for name in (service, operation):
        if not _NAME.fullmatch(name):
            raise CallerError(
                RefusalReason.UNKNOWN_OPERATION,
                'a service or operation is named by letters, digits, _ and -',
            )
    given = http.headers
    request = Request(
        service,
        operation,
        http.method,
        headers.passed_headers(given),
        body,
        ticket=given.get(headers.TICKET, ''),
        parent=given.get(headers.PARENT, ''),
    )
    deadline = given.get(headers.DEADLINE)
    if deadline is not None:
        request.deadline_ms = _read_int(
            deadline,
            headers.DEADLINE,
            -_MAX_DEADLINE_MS,
            _MAX_DEADLINE_MS,
        )
    level = given.get(headers.LEVEL)
    if level is not None:
        request.level = _read_int(level, headers.LEVEL, 0, LEVELS - 1)
    return request


def to_response(outcome: Outcome) -> web.Response:
    """Return the HTTP response that tells an outcome."""
    match outcome:
        case Answered(status, flat, body):
            told: CIMultiDict[str] = CIMultiDict(headers.pairs(flat))
            told[headers.OUTCOME] = 'answered'
            return web.Response(status=status, headers=told, body=body)
        case NotRun():
            return _refusal(outcome)
        case Unknown(reason):
            told = CIMultiDict(
                {
                    headers.OUTCOME: 'unknown',
                    headers.REASON: reason,
                }
            )
            text = json.dumps({'outcome': 'unknown', 'reason': reason})
            return _json(_STATUS_UNKNOWN, told, text)


def _refusal(refusal: NotRun) -> web.Response:
    told: CIMultiDict[str] = CIMultiDict(
        {
            headers.OUTCOME: 'not-run',
            headers.REASON: refusal.reason,
        }
    )
    status = _STATUS_BY_REASON.get(refusal.reason, _STATUS_REFUSED)
    if refusal.retry_after_ms or status == _STATUS_REFUSED:
        wait_ms = refusal.retry_after_ms
        seconds = max(math.ceil(wait_ms / _MS_PER_SECOND), 1)
        told[headers.RETRY_AFTER] = str(seconds)
        told[headers.RETRY_AFTER_MS] = str(wait_ms)
    if refusal.ticket:
        told[headers.TICKET] = refusal.ticket
    document = {'outcome': 'not-run', 'reason': refusal.reason}
    if refusal.detail:
        document['detail'] = refusal.detail
    return _json(status, told, json.dumps(document))


def _json(status: int, told: CIMultiDict[str], text: str) -> web.Response:
    return web.Response(
        status=status,
        headers=told,
        text=text,
        content_type='application/json',
    )


def _echo_request_id(
    http: web.BaseRequest,
    response: web.Response,
) -> web.Response:
    request_id = http.headers.get(headers.REQUEST_ID)
    if request_id is not None and len(request_id) <= MAX_REQUEST_ID:
        response.headers[headers.REQUEST_ID] = request_id
    return response


def _read_int(text: str, name: str, least: int, greatest: int) -> int:
    try:
        number = int(text)
    except ValueError:
        number = greatest + 1
    if least <= number <= greatest:
        return number
    raise CallerError(
        RefusalReason.BAD_HEADER,
        f'{name}: a whole number from {least} to {greatest}',
    )
