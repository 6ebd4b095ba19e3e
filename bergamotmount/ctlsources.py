"""Where the commands of the command-line tool get their facts from."""

import asyncio
import dataclasses
import json

import aiohttp

from bergamotmount.adapters.log import HttpLog
from bergamotmount.clock import Clock
from bergamotmount.publishing import Publisher

#: Nodes that are asked at the same time.
CONCURRENT_NODES = 50

#: Member states in which a node isn't asked any more.
GONE_STATES = frozenset(('left',))

_NODE_TIMEOUT_S = 2


class InputError(Exception):
    """A file or an argument that can't be used."""


class NodeError(Exception):
    """A node that can't be asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a command prints, in both forms, and its exit code."""

    lines: list[str]
    document: object
    exit_code: int = 0


class Sources:
    """The log and the node that a command asks."""

    def __init__(self, log_url: str, node_address: str) -> None:
        """Ask the log at a URL and the node with an admin address."""
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

    async def ask_node(self, path: str, address: str = '') -> dict:
        """Return a JSON document of a node, by default of the given one."""
        address = address or self.node_address
        url = f'http://{address}{path}'
        try:
            async with self._session.get(url) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise NodeError(f'no answer from node at {address}') from error


async def ask_all(
    sources: Sources,
    members: list[dict],
    path: str,
) -> dict[str, dict]:
    """Ask all members that aren't gone; leave out those without answer."""
    limit = asyncio.Semaphore(CONCURRENT_NODES)
    told_by_node: dict[str, dict] = {}

    async def ask(member: dict) -> None:
        async with limit:
            try:
                told = await sources.ask_node(path, member['admin'])
            except NodeError:
                return
            told_by_node[member['node']] = told

    await asyncio.gather(
        *(
            ask(member)
            for member in members
            if member['admin'] and member['state'] not in GONE_STATES
        ),
    )
    return told_by_node


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
