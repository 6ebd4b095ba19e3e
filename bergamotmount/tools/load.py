"""Open-loop load generator, with optional client retries.

Requests start at random times at a given mean rate, independent of the
completion of earlier ones. Each request has a key that the backend servers
record, so the answers that callers received can be compared with the
executions.
"""

import asyncio
import dataclasses
import enum
import itertools
import random
import time

import aiohttp

from bergamotmount.adapters import headers
from bergamotmount.tools.deployments import DemoOperation

#: Maximum number of times that a caller presents a ticket to learn the outcome.
MAX_SETTLE_ATTEMPTS = 4

#: Pause before a ticket is presented again, in seconds.
SETTLE_PAUSE_S = 0.3

#: Time that a caller waits for an answer after its deadline, in seconds.
CLIENT_GRACE_S = 0.5

_STATUS_TICKET_MISSING = 428


class Result(enum.StrEnum):
    """Final result of a request as seen by its caller."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Sample:
    """One request of a caller, including the client's retries.

    ``roots`` holds the root id of each attempt, ``refused_roots`` those of
    the attempts that were answered as not run.
    """

    key: str
    operation: str
    level: int
    idempotent: bool
    started_s: float
    ended_s: float = 0
    result: Result = Result.UNKNOWN
    in_time: bool = False
    client_retries: int = 0
    roots: list[str] = dataclasses.field(default_factory=list)
    refused_roots: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """Reply to one attempt."""

    result: Result
    ticket: str = ''
    retry_after_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Mix of requests and behaviour of the clients.

    ``client_retries`` is the maximum number of immediate retries of a
    request. With ``honour_retry_after`` clients wait before a retry for as
    long as the reply advises. With ``direct`` requests go to the backend
    servers instead of nodes.
    """

    operation_by_name: dict[str, DemoOperation]
    mix: dict[str, int]
    deadline_s: float = 2
    client_retries: int = 0
    honour_retry_after: bool = False
    direct: bool = False


class LoadGenerator:
    """Sends requests to entry addresses and records a sample of each."""

    def __init__(self, plan: LoadPlan, entries: list[str], seed: int) -> None:
        """Send to ``entries``, the addresses to which callers connect."""
        self.plan = plan
        self.entries = list(entries)
        self.samples: list[Sample] = []
        self._rng = random.Random(seed)
        self._request_numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15),
            timeout=aiohttp.ClientTimeout(
                total=plan.deadline_s + CLIENT_GRACE_S
            ),
        )

    async def run(self, rate: float, duration_s: float) -> None:
        """Start ``rate`` requests a second on average for ``duration_s``."""
        started_s = time.monotonic()
        next_s: float = 0
        while True:
            next_s += self._rng.expovariate(rate)
            if next_s > duration_s:
                return
            pause_s = started_s + next_s - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            task = asyncio.create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all requests that were started have ended."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _send_request(self) -> None:
        name = self._rng.choices(
            list(self.plan.mix),
            list(self.plan.mix.values()),
        )[0]
        operation = self.plan.operation_by_name[name]
        sample = Sample(
            f'r{next(self._request_numbers)}',
            name,
            operation.level,
            operation.idempotent,
            time.monotonic(),
        )
        self.samples.append(sample)
        await self._send_with_retries(sample)
        sample.ended_s = time.monotonic()
        elapsed_s = sample.ended_s - sample.started_s
        completed = sample.result is Result.COMPLETED
        sample.in_time = completed and elapsed_s <= self.plan.deadline_s

    async def _send_with_retries(self, sample: Sample) -> None:
        for attempt in range(1 + self.plan.client_retries):
            sample.client_retries = attempt
            reply = await self._attempt(sample, attempt)
            sample.result = reply.result
            if reply.result in {Result.COMPLETED, Result.UNKNOWN}:
                if reply.result is Result.COMPLETED or not sample.idempotent:
                    return
            if reply.result is Result.FAILED and not sample.idempotent:
                return
            if self.plan.honour_retry_after:
                await asyncio.sleep(reply.retry_after_s)

    async def _attempt(self, sample: Sample, attempt: int) -> _Reply:
        root = f'{sample.key}.{attempt}'
        key = root if sample.idempotent else sample.key
        sample.roots.append(root)
        reply = await self._post(sample, key, root, '')
        if reply.result is Result.REFUSED and reply.ticket:
            reply = await self._post_until_settled(sample, key, root, reply)
        if reply.result is Result.REFUSED:
            sample.refused_roots.append(root)
        return reply

    async def _post_until_settled(
        self,
        sample: Sample,
        key: str,
        root: str,
        reply: _Reply,
    ) -> _Reply:
        ticket = reply.ticket
        for _ in range(MAX_SETTLE_ATTEMPTS):
            reply = await self._post(sample, key, root, ticket)
            if reply.result is not Result.UNKNOWN:
                return reply
            await asyncio.sleep(SETTLE_PAUSE_S)
        return reply

    async def _post(
        self,
        sample: Sample,
        key: str,
        root: str,
        ticket: str,
    ) -> _Reply:
        entry = self._rng.choice(self.entries)
        request_headers = {
            headers.DEADLINE: str(int(self.plan.deadline_s * 1000))
        }
        if ticket:
            request_headers[headers.TICKET] = ticket
        path = f'call/{sample.operation}'
        if self.plan.direct:
            path = sample.operation.partition('/')[2]
        try:
            async with self._session.post(
                f'http://{entry}/{path}',
                json={'key': key, 'root': root},
                headers=request_headers,
            ) as response:
                return await _read_reply(response, key)
        except aiohttp.ClientConnectorError:
            return _Reply(Result.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return _Reply(Result.UNKNOWN)


async def _read_reply(response: aiohttp.ClientResponse, key: str) -> _Reply:
    outcome = response.headers.get(headers.OUTCOME, 'answered')
    match outcome:
        case 'answered' if response.status == 200:
            answer = await response.json(content_type=None)
            if answer['key'] != key:
                raise AssertionError(
                    f'answer belongs to {answer["key"]}, asked for {key}'
                )
            return _Reply(Result.COMPLETED)
        case 'not-run':
            return _Reply(
                Result.REFUSED,
                response.headers.get(headers.TICKET, ''),
                float(response.headers.get(headers.RETRY_AFTER, 0)),
            )
        case 'unknown':
            return _Reply(Result.UNKNOWN)
        case _:
            return _Reply(Result.FAILED)
