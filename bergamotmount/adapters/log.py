"""HTTP towards the platform's append-only log."""

import base64
import json

import aiohttp

from bergamotmount.ports import LogError, LogPage, LogRecord

#: Time that an append or a read may take beyond its own wait.
REQUEST_TIMEOUT_S = 3

_MS_PER_SECOND = 1000


class HttpLog:
    """Log service reached by HTTP.

    ``POST /streams/NAME`` appends the body; ``GET /streams/NAME`` with
    ``from`` and ``wait_ms`` reads. docs/log.md describes both.
    """

    def __init__(self, base_url: str) -> None:
        """Reach the service at ``base_url``; needs a running event loop."""
        self._base_url = base_url.rstrip('/')
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset."""
        document = await self._request('POST', stream, data=body)
        try:
            return int(document['offset'])
        except (KeyError, TypeError, ValueError) as error:
            raise LogError('append: no offset in the answer') from error

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: float,
    ) -> LogPage:
        """Return records from an offset on."""
        document = await self._request(
            'GET',
            stream,
            wait_s=wait_ms / _MS_PER_SECOND,
            params={'from': str(from_offset), 'wait_ms': str(int(wait_ms))},
        )
        try:
            return _to_page(document)
        except (KeyError, TypeError, ValueError) as error:
            raise LogError('read: no page in the answer') from error

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
                    raise LogError(f'{method} {stream}: {response.status}')
                return json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogError(f'{method} {stream}: {error!r}') from error
        except ValueError as error:
            raise LogError(f'{method} {stream}: no JSON') from error


def _to_page(document: dict) -> LogPage:
    records = [
        LogRecord(int(each['offset']), base64.b64decode(each['body']))
        for each in document['records']
    ]
    return LogPage(
        int(document['first_kept']),
        int(document['next_offset']),
        records,
    )
