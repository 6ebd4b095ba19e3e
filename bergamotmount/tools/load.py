"""Open-loop callers, with clients that retry hard if so wished.

Requests start at random times at a given rate, whatever becomes of earlier
ones. Every request has a key that backend servers record, so what callers
were told can be compared with what really ran.
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

#: Times that a caller asks again for the outcome of a ticketed request.
SETTLE_TRIES = 4

#: Pause before it asks again.
SETTLE_PAUSE_S = 0.3

#: Time that a caller waits for an answer beyond its deadline.
GRACE_S = 0.5

_STATUS_TICKET_MISSING = 428


class Result(enum.StrEnum):
    """What a caller learned about its request in the end."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Sample:
    """One request of a caller, with all the client's own retries."""

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
    refused_keys: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """One answer that a caller got."""

    result: Result
    ticket: str = ''
    retry_after_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What callers ask for.

    ``client_retries`` is how often a client repeats a failed request at
    once; ``patient`` makes it wait as long as it was advised; ``direct``
    sends to backend servers themselves, without any node.
    """

    operation_by_name: dict[str, DemoOperation]
    mix: dict[str, int]
    deadline_s: float = 2
    client_retries: int = 0
    patient: bool = False
    direct: bool = False


class Load:
    """Sends requests to entry addresses and keeps a sample of each."""

    def __init__(self, plan: LoadPlan, entries: list[str], seed: int) -> None:
        """Send to ``entries``, the callers' addresses of nodes."""
        self.plan = plan
        self.entries = list(entries)
        self.samples: list[Sample] = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15),
            timeout=aiohttp.ClientTimeout(total=plan.deadline_s + GRACE_S),
        )

    async def run(self, rate: float, duration_s: float) -> None:
        """Start requests at ``rate`` a second for a time."""
        started_s = time.monotonic()
        next_s: float = 0
        while True:
            next_s += self._rng.expovariate(rate)
            if next_s > duration_s:
                return
            pause_s = started_s + next_s - time.monotonic()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all requests that were started."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _request(self) -> None:
        name = self._rng.choices(
            list(self.plan.mix),
            list(self.plan.mix.values()),
        )[0]
        operation = self.plan.operation_by_name[name]
        sample = Sample(
            f'r{next(self._numbers)}',
            name,
            operation.level,
            operation.idempotent,
            time.monotonic(),
        )
        self.samples.append(sample)
        await self._try_until_done(sample)
        sample.ended_s = time.monotonic()
        took_s = sample.ended_s - sample.started_s
        completed = sample.result is Result.COMPLETED
        sample.in_time = completed and took_s <= self.plan.deadline_s

    async def _try_until_done(self, sample: Sample) -> None:
        for number in range(1 + self.plan.client_retries):
            sample.client_retries = number
            told = await self._try(sample, number)
            sample.result = told.result
            if told.result in {Result.COMPLETED, Result.UNKNOWN}:
                if told.result is Result.COMPLETED or not sample.idempotent:
                    return
            if told.result is Result.FAILED and not sample.idempotent:
                return
            if self.plan.patient:
                await asyncio.sleep(told.retry_after_s)

    async def _try(self, sample: Sample, number: int) -> _Told:
        root = f'{sample.key}.{number}'
        key = root if sample.idempotent else sample.key
        sample.roots.append(root)
        told = await self._post(sample, key, root, '')
        if told.result is Result.REFUSED and told.ticket:
            told = await self._post_until_settled(sample, key, root, told)
        if told.result is Result.REFUSED:
            sample.refused_keys.append(root)
        return told

    async def _post_until_settled(
        self,
        sample: Sample,
        key: str,
        root: str,
        told: _Told,
    ) -> _Told:
        ticket = told.ticket
        for _ in range(SETTLE_TRIES):
            told = await self._post(sample, key, root, ticket)
            if told.result is not Result.UNKNOWN:
                return told
            await asyncio.sleep(SETTLE_PAUSE_S)
        return told

    async def _post(
        self,
        sample: Sample,
        key: str,
        root: str,
        ticket: str,
    ) -> _Told:
        entry = self._rng.choice(self.entries)
        sent = {headers.DEADLINE: str(int(self.plan.deadline_s * 1000))}
        if ticket:
            sent[headers.TICKET] = ticket
        path = f'call/{sample.operation}'
        if self.plan.direct:
            path = sample.operation.partition('/')[2]
        try:
            async with self._session.post(
                f'http://{entry}/{path}',
                json={'key': key, 'root': root},
                headers=sent,
            ) as response:
                return await _read(response, key)
        except aiohttp.ClientConnectorError:
            return _Told(Result.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return _Told(Result.UNKNOWN)


async def _read(response: aiohttp.ClientResponse, key: str) -> _Told:
    outcome = response.headers.get(headers.OUTCOME, 'answered')
    match outcome:
        case 'answered' if response.status == 200:
            told = await response.json(content_type=None)
            if told['key'] != key:
                raise AssertionError(f'answer for {told["key"]}, asked {key}')
            return _Told(Result.COMPLETED)
        case 'not-run':
            return _Told(
                Result.REFUSED,
                response.headers.get(headers.TICKET, ''),
                float(response.headers.get(headers.RETRY_AFTER, 0)),
            )
        case 'unknown':
            return _Told(Result.UNKNOWN)
        case _:
            return _Told(Result.FAILED)
