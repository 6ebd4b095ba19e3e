"""HTTP towards the backend server on this host."""

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

#: Largest answer of a backend server in bytes, by default.
MAX_ANSWER_BYTES = 1 << 20

#: Idle connections are closed after this time, before the server does it.
KEEPALIVE_S = 15

_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')
_NO_BODY_STATUSES = frozenset((204, 304))
_MAX_CACHED_URLS = 10_000


class HttpServer:
    """Runs requests on the backend server by HTTP."""

    def __init__(
        self,
        clock: Clock,
        base_url: str,
        connections: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        """Open at most ``connections`` connections to ``base_url``.

        Must be called in a running event loop.
        """
        self._clock = clock
        self._base_url = yarl.URL(base_url)
        self._max_answer_bytes = max_answer_bytes
        self._url_by_operation: dict[str, yarl.URL] = {}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections,
                keepalive_timeout=KEEPALIVE_S,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_HEADERS,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(),
        )
        # The library would send some methods again by itself when the
        # connection breaks; only the egress decides on retries.
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
        """Run a request on the backend server and return its whole answer."""
        try:
            async with self._clock.timeout(remaining_ms):
                return await self._run(call, parent, remaining_ms)
        except aiohttp.ClientConnectorError:
            return ServerUnreached()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ServerLost()

    async def _run(
        self,
        call: Call,
        parent: str,
        remaining_ms: float,
    ) -> ServerReply:
        sent: CIMultiDict[str] = CIMultiDict(headers.pairs(call.headers))
        sent[headers.PARENT] = parent
        sent[headers.DEADLINE] = str(int(remaining_ms))
        sent[headers.ROOT] = call.root
        async with self._session.request(
            call.method,
            self._url(call.operation),
            data=call.body or None,
            headers=sent,
            allow_redirects=False,
        ) as response:
            return await self._read(response)

    async def _read(self, response: aiohttp.ClientResponse) -> ServerReply:
        if headers.NOT_RUN in response.headers:
            return ServerShed()
        if (response.content_length or 0) > self._max_answer_bytes:
            response.close()
            return ServerLost(too_large=True)
        if not _has_known_end(response):
            # Without a length, a cut answer looks like a whole one.
            response.close()
            return ServerLost()
        body = await self._read_body(response)
        if len(body) > self._max_answer_bytes:
            response.close()
            return ServerLost(too_large=True)
        passed = headers.passed_headers(response.headers)
        return Answered(response.status, passed, body)

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


def _has_known_end(response: aiohttp.ClientResponse) -> bool:
    if response.status in _NO_BODY_STATUSES or response.method == 'HEAD':
        return True
    if 'Content-Length' in response.headers:
        return True
    return 'chunked' in response.headers.get('Transfer-Encoding', '')
