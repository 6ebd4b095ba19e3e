"""Stand-in for backend servers of one service, for demo and benchmarks.

It announces each server to its node, takes a slot and some time for each
request, makes the child calls of the operation, and records every execution
by the key in the request, so that doubles and losses are counted by truth.

``POST /control`` sets ``slow_factor``; ``GET /truth`` returns the record;
``GET /load`` returns a load figure that is ``load_lag`` requests old and
multiplied by ``load_factor``, so it lags or lies as wished.
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

#: Requests that may wait for a slot, for each slot, before the server sheds.
SHED_PER_SLOT = 2

#: How often the server renews its announcement.
RENEW_S = 1

#: Spread of service times around their mean.
SPREAD = 0.3

_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OperationSpec:
    """How a stand-in runs one operation."""

    service_ms: float
    callees: tuple[str, ...] = ()
    hop_retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """Whom a stand-in calls, and when it sheds.

    ``callers_url`` is its node; with ``direct_urls`` it calls the servers of
    other services itself, as the baselines of the overload benchmark do.
    """

    callers_url: str = ''
    direct_urls: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    shed_per_slot: float = SHED_PER_SLOT

    def child_url(self, callee: str, rng: random.Random) -> str:
        """Return where a child call goes."""
        if not self.direct_urls:
            return f'{self.callers_url}/call/{callee}'
        service, _, operation = callee.partition('/')
        return f'{rng.choice(self.direct_urls[service])}/{operation}'


@dataclasses.dataclass(slots=True)
class Truth:
    """What really ran."""

    runs_by_key: Counter[str] = dataclasses.field(default_factory=Counter)
    work_ms_by_root: Counter[str] = dataclasses.field(default_factory=Counter)
    attempts_by_root: Counter[str] = dataclasses.field(default_factory=Counter)
    shed: int = 0


@dataclasses.dataclass(slots=True)
class Tuning:
    """Behaviour that can be changed while the server runs."""

    slow_factor: float = 1
    load_factor: float = 1
    load_lag: int = 0


class ServerStandin:
    """One backend server."""

    def __init__(
        self,
        service: str,
        slots: int,
        operation_by_name: dict[str, OperationSpec],
        surroundings: Surroundings,
        truth: Truth,
        tuning: Tuning,
    ) -> None:
        """Serve with a number of slots in the given surroundings."""
        self.service = service
        self.slots = slots
        self._operation_by_name = operation_by_name
        self._surroundings = surroundings
        self._most_in_hand = slots * (1 + surroundings.shed_per_slot)
        self._truth = truth
        self._tuning = tuning
        self._free_slots = asyncio.Semaphore(slots)
        self._in_hand = 0
        self._loads: deque[int] = deque(maxlen=1000)
        self._rng = random.Random(service)
        self._announcing: asyncio.Task | None = None
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15),
        )

    async def run(self, http: web.BaseRequest) -> web.Response:
        """Run one request."""
        operation = self._operation_by_name.get(http.path.lstrip('/'))
        if operation is None:
            return web.Response(status=404)
        if self._in_hand >= self._most_in_hand:
            self._truth.shed += 1
            return web.Response(status=503, headers={headers.NOT_RUN: '1'})
        self._in_hand += 1
        self._loads.append(self._in_hand)
        try:
            async with self._free_slots:
                return await self._run(http, operation)
        finally:
            self._in_hand -= 1

    def reported_load(self) -> float:
        """Return the load that the server's own endpoint would tell."""
        if not self._loads:
            return 0
        lag = min(self._tuning.load_lag, len(self._loads) - 1)
        return self._loads[-1 - lag] * self._tuning.load_factor

    def start_announcing(self, admin_url: str) -> None:
        """Announce the server to its node, and renew until closed."""
        self._announcing = asyncio.create_task(self._announce(admin_url))

    async def close(self) -> None:
        """Stop announcing and close all connections."""
        if self._announcing is not None:
            self._announcing.cancel()
        await self._session.close()

    async def _announce(self, admin_url: str) -> None:
        is_cold = True
        announced = False
        while True:
            told = {
                'service': self.service,
                'slots': self.slots,
                'cold': is_cold,
            }
            path = 'renew' if announced else 'announce'
            url = f'{admin_url}/server/{path}'
            try:
                async with self._session.post(url, json=told) as response:
                    announced = response.ok
            except aiohttp.ClientError:
                announced = False
            is_cold = is_cold and not announced
            await asyncio.sleep(RENEW_S if announced else RENEW_S / 4)

    async def _run(
        self,
        http: web.BaseRequest,
        operation: OperationSpec,
    ) -> web.Response:
        asked = json.loads(await http.read())
        key, root = asked['key'], asked['root']
        self._truth.runs_by_key[key] += 1
        self._truth.attempts_by_root[root] += 1
        mean_ms = operation.service_ms * self._tuning.slow_factor
        work_ms = mean_ms * self._rng.uniform(1 - SPREAD, 1 + SPREAD)
        self._truth.work_ms_by_root[root] += work_ms
        await asyncio.sleep(work_ms / _MS_PER_SECOND)
        for callee in operation.callees:
            failure = await self._call(http, operation, callee, key, root)
            if failure:
                return web.json_response({'failed': failure}, status=502)
        return web.json_response({'key': key, 'service': self.service})

    async def _call(
        self,
        http: web.BaseRequest,
        operation: OperationSpec,
        callee: str,
        key: str,
        root: str,
    ) -> str:
        failure = ''
        for _ in range(1 + operation.hop_retries):
            failure = await self._call_once(http, callee, key, root)
            if not failure:
                return ''
        return failure

    async def _call_once(
        self,
        http: web.BaseRequest,
        callee: str,
        key: str,
        root: str,
    ) -> str:
        child = f'{key}/{callee}'
        parent = {
            name: http.headers[name]
            for name in (headers.PARENT, headers.DEADLINE)
            if name in http.headers
        }
        async with self._session.post(
            self._surroundings.child_url(callee, self._rng),
            json={'key': child, 'root': root},
            headers=parent,
        ) as response:
            if response.status != 200:
                return f'{callee}: {response.status}'
            told = await response.json(content_type=None)
            if told['key'] != child:
                return f'{callee}: answer to another request'
            return ''


def load_spec(document: dict) -> dict[str, OperationSpec]:
    """Return operations from their JSON form."""
    return {
        name: OperationSpec(
            operation['service_ms'],
            tuple(operation['callees']),
            operation.get('hop_retries', 0),
        )
        for name, operation in document.items()
    }


async def serve(spec: dict) -> list[Closer]:
    """Serve all servers of a spec and its control address."""
    truth, tuning = Truth(), Tuning()
    operation_by_name = load_spec(spec['operations'])
    closers: list[Closer] = []
    for server in spec['servers']:
        standin = ServerStandin(
            spec['service'],
            server['slots'],
            operation_by_name,
            Surroundings(
                server['callers_url'],
                spec.get('direct_urls', {}),
                spec.get('shed_per_slot', SHED_PER_SLOT),
            ),
            truth,
            tuning,
        )
        http = web.Server(
            standin.run,
            handler_cancellation=True,
            access_log=None,
        )
        runner = web.ServerRunner(http, shutdown_timeout=1)
        closers.append(await start_site(runner, server['listen']))
        closers.append(standin.close)
        if server['admin_url']:
            standin.start_announcing(server['admin_url'])
    control = web.AppRunner(_make_control(truth, tuning))
    closers.append(await start_site(control, spec['control']))
    return closers


def _make_control(truth: Truth, tuning: Tuning) -> web.Application:
    async def tell_truth(_http: web.Request) -> web.Response:
        return web.json_response(
            {
                'runs_by_key': truth.runs_by_key,
                'work_ms_by_root': truth.work_ms_by_root,
                'attempts_by_root': truth.attempts_by_root,
                'shed': truth.shed,
            }
        )

    async def tune(http: web.Request) -> web.Response:
        for name, setting in (await http.json()).items():
            setattr(tuning, name, setting)
        return web.json_response(dataclasses.asdict(tuning))

    application = web.Application()
    application.add_routes(
        [
            web.get('/truth', tell_truth),
            web.post('/control', tune),
        ]
    )
    return application


def main() -> None:
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('spec', help='JSON file that describes the servers')
    arguments = parser.parse_args()
    with open(arguments.spec, encoding='utf-8') as source:
        spec = json.load(source)
    run_until_signal(lambda: serve(spec))


if __name__ == '__main__':
    main()
