"""Data sources of the command-line tool: the log and the nodes."""

import asyncio
import dataclasses
import json

import aiohttp

from bergamotmount.adapters.log import HttpLog
from bergamotmount.clock import Clock
from bergamotmount.publishing import Publisher

#: Maximum number of nodes that are queried at the same time.
MAX_CONCURRENT_QUERIES = 50

#: Member states in which a node is no longer queried.
DEPARTED_STATES = frozenset(('left',))

_NODE_TIMEOUT_S = 2


class InputError(Exception):
    """A file or an argument is invalid."""


class NodeError(Exception):
    """A node did not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Output of a command, as text and as JSON, and its exit code."""

    lines: list[str]
    document: object
    exit_code: int = 0


class Sources:
    """The log and the node that a command queries."""

    def __init__(self, log_url: str, node_address: str) -> None:
        """Use the log at a URL and the node with an admin address."""
        self.node_address = node_address
        self._log_url = log_url

    async def __aenter__(self) -> 'Sources':
        """Open the connections."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_NODE_TIMEOUT_S),
        )
        self._log = HttpLog(self._log_url)
        self.publisher = Publisher(Clock(), self._log)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close the connections."""
        await self._log.close()
        await self._session.close()

    async def query_node(self, path: str, address: str = '') -> dict:
        """Return a JSON document from a node, by default ``node_address``."""
        address = address or self.node_address
        url = f'http://{address}{path}'
        try:
            async with self._session.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NodeError(f'no answer from node at {address}') from error


async def query_members(
    sources: Sources,
    members: list[dict],
    path: str,
) -> dict[str, dict]:
    """Query all members that have not left; omit those without answer."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    answer_by_node: dict[str, dict] = {}

    async def query(member: dict) -> None:
        async with limit:
            try:
                answer = await sources.query_node(path, member['admin'])
            except NodeError:
                return
            answer_by_node[member['node']] = answer

    await asyncio.gather(
        *(
            query(member)
            for member in members
            if member['admin'] and member['state'] not in DEPARTED_STATES
        ),
    )
    return answer_by_node


def read_document(path: str) -> dict:
    """Return the JSON object in a file or raise :class:`InputError`."""
    try:
        with open(path, encoding='utf-8') as source:
            document = json.load(source)
    except (OSError, ValueError) as error:
        raise InputError(f'{path}: {error}') from error
    if not isinstance(document, dict):
        raise InputError(f'{path}: not a JSON object')
    return document
