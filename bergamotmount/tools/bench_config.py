"""Time from publishing a record until it is active on every node.

Runs 16 nodes in four failure domains as real processes. In the second part
the nodes of one failure domain can't reach the log, because their settings
name an address where nothing listens.
"""

import argparse
import asyncio
import json
import statistics
import sys
import time
import uuid

import aiohttp
import uvloop

from bergamotmount.adapters.log import HttpLog
from bergamotmount.tools.deployments import ADOMAKO
from bergamotmount.tools.fleet import Fleet
from bergamotmount.tools.ports import free_addresses
from bergamotmount.tools.process import run_interruptibly
from bergamotmount.tools.publish import publish_deployment

#: Number of records that are published in each part.
RECORDS = 15

#: Failure domain whose nodes can't reach the log in the second part.
ISOLATED_DOMAIN = 'fd-4'

_POLL_INTERVAL_S = 0.01
_TIMEOUT_S = 20


class ConfigBench:
    """Publishes records and polls the policy offset of all nodes."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        """Poll the nodes of ``fleet`` over ``session``."""
        self._fleet = fleet
        self._session = session
        self._base_offset: int | None = None

    async def measure(self) -> list[float]:
        """Publish records; return the seconds until each was active."""
        log = HttpLog(self._fleet.log_url)
        times_s = []
        for _ in range(RECORDS):
            started_s = time.monotonic()
            offset = await log.append('policy', self._make_record())
            await self._wait_for(offset)
            times_s.append(time.monotonic() - started_s)
        await log.close()
        return times_s

    async def read_base_offset(self) -> None:
        """Read from a node the offset that the next record is based on."""
        node = next(iter(self._fleet.node_by_name.values()))
        async with self._session.get(f'http://{node.admin}/policy') as response:
            state = await response.json()
        self._base_offset = state['records']['retries']['offset']
        self._next_offset = state['offset'] + 1

    def _make_record(self) -> bytes:
        document = {
            'schema': 2,
            'id': uuid.uuid4().hex,
            'subject': 'retries',
            'based_on': self._base_offset,
            'body': {'per_request': 3},
        }
        self._base_offset = self._next_offset
        self._next_offset += 1
        return json.dumps(document).encode()

    async def _wait_for(self, offset: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            await asyncio.gather(
                *(
                    self._wait_for_node(node.admin, offset)
                    for node in self._fleet.node_by_name.values()
                ),
            )

    async def _wait_for_node(self, admin: str, offset: int) -> None:
        url = f'http://{admin}/policy/offset'
        while True:
            async with self._session.get(url) as response:
                reply = await response.json()
            if reply['offset'] >= offset:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


async def run() -> list[str]:
    """Run both parts and return the lines to print."""
    fleet = Fleet(ADOMAKO)
    try:
        return await _run(fleet)
    finally:
        await fleet.stop()


async def _run(fleet: Fleet) -> list[str]:
    await fleet.start_all()
    await publish_deployment(fleet)
    await fleet.wait_ready()
    async with aiohttp.ClientSession() as session:
        bench = ConfigBench(fleet, session)
        await bench.read_base_offset()
        times_s = await bench.measure()
        await _isolate_from_log(fleet)
        isolated_times_s = await bench.measure()
    return [
        f'in_force_p50_s {statistics.median(times_s):.3f}',
        f'in_force_max_s {max(times_s):.3f}',
        f'cut_in_force_max_s {max(isolated_times_s):.3f}',
    ]


async def _isolate_from_log(fleet: Fleet) -> None:
    """Restart the nodes of one domain with an unreachable log URL."""
    unreachable_url = f'http://{free_addresses(1)[0]}'
    names = [
        name
        for name, node in fleet.node_by_name.items()
        if node.failure_domain == ISOLATED_DOMAIN
    ]
    for name in names:
        await fleet.stop_gracefully(name)
    fleet.override({'join': {'log_url': unreachable_url}})
    await fleet.start_nodes(names)
    await fleet.wait_ready()


def main() -> None:
    """Run the benchmark and print its figures."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args()
    lines = uvloop.run(run_interruptibly(run()))
    sys.stdout.write(''.join(f'{line}\n' for line in lines or ()))


if __name__ == '__main__':
    main()
