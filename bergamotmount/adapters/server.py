"""HTTP client of the backend server on this host.

A connection carries one request after another, and a faulty server may write a
response once more, late. Each request has an id of its own, which a server
repeats in its response; a response with another id belongs to no request. A
refusal without one is believed only on a new connection.
"""

import dataclasses
import itertools

import aiohttp
import yarl
from multidict import CIMultiDict

from bergamotmount.adapters import headers
from bergamotmount.clock import Clock
from bergamotmount.messages import Call
from bergamotmount.outcomes import Answered
from bergamotmount.ports import (
    ServerLost,
    ServerReply,
    ServerShed,
    ServerUnreached,
)

#: Default maximum size of a response body of the backend server in bytes.
MAX_ANSWER_BYTES = 1 << 20

#: Idle time after which connections are closed, before the server does it.
KEEPALIVE_S = 15

_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
#: Minimum status of a response.
_MIN_STATUS = 100

_NO_BODY_STATUSES = frozenset((204, 304))
_MAX_CACHED_URLS = 10_000


@dataclasses.dataclass(slots=True)
class _Sent:
    """One request as sent: its id, and whether its connection is new."""

    attempt: str
    is_on_new_connection: bool = False


async def _mark_new_connection(
    _session: aiohttp.ClientSession,
    context: aiohttp.TraceConfig,
    _event: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context.trace_request_ctx.is_on_new_connection = True


def _trace_new_connections() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_new_connection)
    return trace


class _Response(aiohttp.ClientResponse):
    """Response that can close its connection after its end.

    By then the library has returned the connection to its pool.
    """

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Remember the connection and receive the head."""
        self._used_protocol = connection.protocol
        return await super().start(connection)

    def close_connection(self) -> None:
        """Close the connection, so that no request is sent on it again."""
        self._used_protocol.close()
        self.close()


class HttpBackendServer:
    """Implementation of the ``BackendServer`` port over HTTP."""

    def __init__(
        self,
        clock: Clock,
        base_url: str,
        connections: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Create a client with at most ``connections`` connections.

        Must be called in a running event loop.
        """
        self._clock = clock
        self._base_url = yarl.URL(base_url)
        self._max_answer_bytes = max_answer_bytes
        self._url_by_operation: dict[str, yarl.URL] = {}
        self._attempts = itertools.count(1)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections,
                keepalive_timeout=KEEPALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_HEADERS,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(),
            trace_configs=[_trace_new_connections()],
            response_class=_Response,
        )
        # The library resends requests of some methods when the connection
        # breaks. Only the egress decides on retries.
        self._session._retry_connection = False  # noqa: SLF001

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def run(
        self,
        call: Call,
        parent: str,
        remaining_ms: float,
    ) -> ServerReply:
        """Run a request on the backend server and return its complete reply.

        ``parent`` is the key for nested calls of the request.
        """
        try:
            async with self._clock.timeout(remaining_ms):
                return await self._exchange(call, parent, remaining_ms)
        except aiohttp.ClientConnectorError:
            return ServerUnreached()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ServerLost()

    async def _exchange(
        self,
        call: Call,
        parent: str,
        remaining_ms: float,
    ) -> ServerReply:
        request_headers: CIMultiDict[str] = CIMultiDict(
            headers.to_pairs(call.headers),
        )
        request_headers[headers.PARENT] = parent
        request_headers[headers.DEADLINE] = str(int(remaining_ms))
        request_headers[headers.ROOT] = call.root
        sent = _Sent(str(next(self._attempts)))
        request_headers[headers.ATTEMPT] = sent.attempt
        async with self._session.request(
            call.method,
            self._url(call.operation),
            data=call.body or None,
            headers=request_headers,
            allow_redirects=False,
            trace_request_ctx=sent,
        ) as response:
            is_response = response.status >= _MIN_STATUS
            if not is_response or not _is_response_to(response, sent):
                response.close_connection()
                return ServerLost()
            return await self._read_reply(response)

    async def _read_reply(
        self,
        response: aiohttp.ClientResponse,
    ) -> ServerReply:
        if headers.NOT_RUN in response.headers:
            return ServerShed()
        if (response.content_length or 0) > self._max_answer_bytes:
            response.close()
            return ServerLost(too_large=True)
        if not _has_delimited_body(response):
            # Without a length, a truncated body can't be told from a
            # complete one.
            response.close()
            return ServerLost()
        body = await self._read_body(response)
        if len(body) > self._max_answer_bytes:
            response.close()
            return ServerLost(too_large=True)
        forwarded = headers.forwarded_headers(response.headers)
        return Answered(response.status, forwarded, body)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        if response.content_length is not None:
            return await response.read()
        body = b''
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_answer_bytes:
                return body
        return body

    def _url(self, operation: str) -> yarl.URL:
        url = self._url_by_operation.get(operation)
        if url is None:
            url = self._base_url / operation
            if len(self._url_by_operation) < _MAX_CACHED_URLS:
                self._url_by_operation[operation] = url
        return url


def _is_response_to(response: aiohttp.ClientResponse, sent: _Sent) -> bool:
    attempt = response.headers.get(headers.ATTEMPT)
    if attempt is not None:
        return attempt == sent.attempt
    return sent.is_on_new_connection or headers.NOT_RUN not in response.headers


def _has_delimited_body(response: aiohttp.ClientResponse) -> bool:
    if response.status in _NO_BODY_STATUSES or response.method == 'HEAD':
        return True
    if 'Content-Length' in response.headers:
        return True
    return 'chunked' in response.headers.get('Transfer-Encoding', '')
