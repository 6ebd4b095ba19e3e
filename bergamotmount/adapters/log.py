"""HTTP client of the platform's append-only log."""

import base64
import json

import aiohttp

from bergamotmount.jsoninput import decode_json
from bergamotmount.ports import LogError, LogPage, LogRecord

#: Timeout of a request, in addition to the time that it asks to wait.
REQUEST_TIMEOUT_S = 3

_MS_PER_SECOND = 1000

#: What the conversion of a malformed answer raises.
_MALFORMED = (KeyError, TypeError, ValueError, OverflowError)


class HttpLog:
    """Client of the log service.

    ``POST /streams/NAME`` appends the body as a record. ``GET /streams/NAME``
    with the parameters ``from`` and ``wait_ms`` reads records. docs/log.md
    describes both.
    """

    def __init__(self, base_url: str) -> None:
        """Create a client of the service at ``base_url``.

        Must be called in a running event loop.
        """
        self._base_url = base_url.rstrip('/')
        # A connection that was kept may have gone silent since.
        connector = aiohttp.TCPConnector(force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset."""
        document = await self._request('POST', stream, data=body)
        try:
            return int(document['offset'])
        except _MALFORMED as error:
            raise LogError('append: no offset in the answer') from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: float,
    ) -> LogPage:
        """Return the records from an offset on.

        The service waits up to ``wait_ms`` for a record when there is none.
        """
        document = await self._request(
            'GET',
            stream,
            wait_s=wait_ms / _MS_PER_SECOND,
            params={'from': str(from_offset), 'wait_ms': str(int(wait_ms))},
        )
        try:
            page = _parse_page(document)
        except _MALFORMED as error:
            raise LogError('read: no page in the answer') from error
        if page.records and page.next_offset <= from_offset:
            raise LogError('read: the page does not lead on')
        return page

    async def _request(
        self,
        method: str,
        stream: str,
        wait_s: float = 0,
        **options,
    ) -> dict:
        url = f'{self._base_url}/streams/{stream}'
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S + wait_s)
        try:
            async with self._session.request(
                method,
                url,
                timeout=timeout,
                **options,
            ) as response:
                if not response.ok:
                    raise LogError(
                        f'{method} {stream}: HTTP status {response.status}',
                    )
                return decode_json(json.loads, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogError(f'{method} {stream}: {error!r}') from error
        except ValueError as error:
            raise LogError(f'{method} {stream}: not a JSON response') from error


def _parse_page(document: dict) -> LogPage:
    records = [
        LogRecord(int(record['offset']), base64.b64decode(record['body']))
        for record in document['records']
    ]
    return LogPage(
        int(document['first_kept']),
        int(document['next_offset']),
        records,
    )
