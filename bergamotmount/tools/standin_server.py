"""Stub of the backend servers of one service, for demo and benchmarks.

Each stub server announces itself to its node. For each request it occupies a
slot for a random service time and makes the child calls of the operation.
Executions are counted by the key in the request: comparing these counts with
the answers that callers received reveals duplicate and lost executions.

``POST /control`` sets the fields of :class:`Tuning`; ``GET /truth`` returns
the execution counts.
"""

import argparse
import asyncio
import dataclasses
import json
import random
from collections import Counter, deque

import aiohttp
from aiohttp import web  # noqa: WPS458

from bergamotmount.adapters import headers
from bergamotmount.tools.process import Closer, run_until_signal, start_site

#: Requests per slot that may wait for a slot before the server sheds.
SHED_PER_SLOT = 2

#: Interval between two renewals of the announcement, in seconds.
RENEW_INTERVAL_S = 1

#: Maximum relative deviation of a service time from its mean.
SERVICE_TIME_SPREAD = 0.3

_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OperationSpec:
    """How a stub server runs one operation."""

    service_ms: float
    callees: tuple[str, ...] = ()
    hop_retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StubEnvironment:
    """Where a stub server sends child calls, and when it sheds.

    ``callers_url`` is the callers' address of its node. With ``direct_urls``,
    a list of server URLs for each service, it calls the servers of other
    services directly, as the baselines of the overload benchmark do.
    """

    callers_url: str = ''
    direct_urls: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    shed_per_slot: float = SHED_PER_SLOT

    def child_url(self, callee: str, rng: random.Random) -> str:
        """Return the URL to which a call of ``callee`` is sent."""
        if not self.direct_urls:
            return f'{self.callers_url}/call/{callee}'
        service, _, operation = callee.partition('/')
        return f'{rng.choice(self.direct_urls[service])}/{operation}'


@dataclasses.dataclass(slots=True)
class ExecutionCounts:
    """Executions, work and attempts that the stub servers recorded."""

    runs_by_key: Counter[str] = dataclasses.field(default_factory=Counter)
    work_ms_by_root: Counter[str] = dataclasses.field(default_factory=Counter)
    attempts_by_root: Counter[str] = dataclasses.field(default_factory=Counter)
    shed: int = 0


@dataclasses.dataclass(slots=True)
class Tuning:
    """Behaviour that can be changed while the server runs.

    ``slow_factor`` multiplies service times. The reported load is
    ``load_lag`` requests old and multiplied by ``load_factor``.
    """

    slow_factor: float = 1
    load_factor: float = 1
    load_lag: int = 0


class StubServer:
    """Stub of one backend server."""

    def __init__(
        self,
        service: str,
        slots: int,
        operation_by_name: dict[str, OperationSpec],
        environment: StubEnvironment,
        counts: ExecutionCounts,
        tuning: Tuning,
    ) -> None:
        """Start idle; ``counts`` and ``tuning`` are shared by a service."""
        self.service = service
        self.slots = slots
        self._operation_by_name = operation_by_name
        self._environment = environment
        self._max_in_flight = slots * (1 + environment.shed_per_slot)
        self._counts = counts
        self._tuning = tuning
        self._free_slots = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._load_history: deque[int] = deque(maxlen=1000)
        self._rng = random.Random(service)
        self._announce_task: asyncio.Task | None = None
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15),
        )

    async def run(self, request: web.BaseRequest) -> web.Response:
        """Run one request, or shed it when too many are in flight."""
        operation = self._operation_by_name.get(request.path.lstrip('/'))
        if operation is None:
            return web.Response(status=404)
        if self._in_flight >= self._max_in_flight:
            self._counts.shed += 1
            attempt = request.headers.get(headers.ATTEMPT, '')
            return web.Response(
                status=503,
                headers={headers.NOT_RUN: '1', headers.ATTEMPT: attempt},
            )
        self._in_flight += 1
        self._load_history.append(self._in_flight)
        try:
            async with self._free_slots:
                return await self._execute(request, operation)
        finally:
            self._in_flight -= 1

    def reported_load(self) -> float:
        """Return the load figure, delayed and scaled as tuned."""
        if not self._load_history:
            return 0
        lag = min(self._tuning.load_lag, len(self._load_history) - 1)
        return self._load_history[-1 - lag] * self._tuning.load_factor

    def start_announcing(self, admin_url: str) -> None:
        """Announce the server to its node and renew until it is closed."""
        self._announce_task = asyncio.create_task(self._announce(admin_url))

    async def close(self) -> None:
        """Stop announcing and close all connections."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        await self._session.close()

    async def _announce(self, admin_url: str) -> None:
        cold = True
        announced = False
        while True:
            announcement = {
                'service': self.service,
                'slots': self.slots,
                'cold': cold,
            }
            path = 'renew' if announced else 'announce'
            url = f'{admin_url}/server/{path}'
            try:
                async with self._session.post(
                    url, json=announcement
                ) as response:
                    announced = response.ok
            except aiohttp.ClientError:
                announced = False
            cold = cold and not announced
            await asyncio.sleep(
                RENEW_INTERVAL_S if announced else RENEW_INTERVAL_S / 4
            )

    async def _execute(
        self,
        request: web.BaseRequest,
        operation: OperationSpec,
    ) -> web.Response:
        document = json.loads(await request.read())
        key, root = document['key'], document['root']
        self._counts.runs_by_key[key] += 1
        self._counts.attempts_by_root[root] += 1
        mean_ms = operation.service_ms * self._tuning.slow_factor
        work_ms = mean_ms * self._rng.uniform(
            1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD
        )
        self._counts.work_ms_by_root[root] += work_ms
        await asyncio.sleep(work_ms / _MS_PER_SECOND)
        for callee in operation.callees:
            failure = await self._call_with_retries(
                request, operation, callee, key, root
            )
            if failure:
                return web.json_response({'failed': failure}, status=502)
        return web.json_response({'key': key, 'service': self.service})

    async def _call_with_retries(
        self,
        request: web.BaseRequest,
        operation: OperationSpec,
        callee: str,
        key: str,
        root: str,
    ) -> str:
        failure = ''
        for _ in range(1 + operation.hop_retries):
            failure = await self._call_once(request, callee, key, root)
            if not failure:
                return ''
        return failure

    async def _call_once(
        self,
        request: web.BaseRequest,
        callee: str,
        key: str,
        root: str,
    ) -> str:
        child_key = f'{key}/{callee}'
        passed_headers = {
            name: request.headers[name]
            for name in (headers.PARENT, headers.DEADLINE)
            if name in request.headers
        }
        async with self._session.post(
            self._environment.child_url(callee, self._rng),
            json={'key': child_key, 'root': root},
            headers=passed_headers,
        ) as response:
            if response.status != 200:
                return f'{callee}: {response.status}'
            answer = await response.json(content_type=None)
            if answer['key'] != child_key:
                return f'{callee}: answer belongs to another request'
            return ''


def parse_operations(document: dict) -> dict[str, OperationSpec]:
    """Return the operations of a JSON document by name."""
    return {
        name: OperationSpec(
            operation['service_ms'],
            tuple(operation['callees']),
            operation.get('hop_retries', 0),
        )
        for name, operation in document.items()
    }


async def serve(spec: dict) -> list[Closer]:
    """Start all servers and the control address of a spec."""
    counts, tuning = ExecutionCounts(), Tuning()
    operation_by_name = parse_operations(spec['operations'])
    closers: list[Closer] = []
    for server in spec['servers']:
        stub = StubServer(
            spec['service'],
            server['slots'],
            operation_by_name,
            StubEnvironment(
                server['callers_url'],
                spec.get('direct_urls', {}),
                spec.get('shed_per_slot', SHED_PER_SLOT),
            ),
            counts,
            tuning,
        )
        http_server = web.Server(
            stub.run,
            handler_cancellation=True,
            access_log=None,
        )
        runner = web.ServerRunner(http_server, shutdown_timeout=1)
        closers.append(await start_site(runner, server['listen']))
        closers.append(stub.close)
        if server['admin_url']:
            stub.start_announcing(server['admin_url'])
    control_runner = web.AppRunner(_make_control_application(counts, tuning))
    closers.append(await start_site(control_runner, spec['control']))
    return closers


def _make_control_application(
    counts: ExecutionCounts, tuning: Tuning
) -> web.Application:
    async def report_counts(_request: web.Request) -> web.Response:
        return web.json_response(
            {
                'runs_by_key': counts.runs_by_key,
                'work_ms_by_root': counts.work_ms_by_root,
                'attempts_by_root': counts.attempts_by_root,
                'shed': counts.shed,
            }
        )

    async def tune(request: web.Request) -> web.Response:
        for name, setting in (await request.json()).items():
            setattr(tuning, name, setting)
        return web.json_response(dataclasses.asdict(tuning))

    application = web.Application()
    application.add_routes(
        [
            web.get('/truth', report_counts),
            web.post('/control', tune),
        ]
    )
    return application


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('spec', help='JSON file that describes the servers')
    arguments = parser.parse_args()
    with open(arguments.spec, encoding='utf-8') as source:
        spec = json.load(source)
    run_until_signal(lambda: serve(spec))


if __name__ == '__main__':
    main()
