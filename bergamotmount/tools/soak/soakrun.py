"""One run of the soak: deployment, callers, and faults drawn from a seed."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Coroutine

from bergamotmount.tools.soak.callers import Caller
from bergamotmount.tools.soak.deployment import NodeProcess
from bergamotmount.tools.soak.faults import Faults
from bergamotmount.tools.soak.fleet import Fleet, SoakOptions
from bergamotmount.tools.soak.ledger import Breach, Promise

#: Time for the nodes to find each other before callers come.
SETTLE_S = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOutcome:
    """The broken promises of a run, how requests ended, and the logs."""

    breaches: list[Breach]
    summary: dict[str, int]
    folder: pathlib.Path


class SoakRun:
    """Plays one run; all processes that it started have ended after it."""

    def __init__(self, options: SoakOptions) -> None:
        """Prepare a run; nothing is started."""
        self._fleet = Fleet(options)
        self._faults = Faults(self._fleet)

    async def play(self) -> SoakOutcome:
        """Play the run and return its outcome."""
        fleet = self._fleet
        tasks: list[asyncio.Task] = []
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_S)
            tasks = [asyncio.create_task(each) for each in self._callers()]
            await self._faults.inject()
            await self._faults.end()
        finally:
            await _cancel(tasks)
            await fleet.close()
        breaches = fleet.ledger.breaches()
        for node in fleet.nodes:
            breaches.extend(node_breaches(node))
        return SoakOutcome(breaches, fleet.ledger.summary(), fleet.folder)

    def _callers(self) -> list[Coroutine]:
        fleet = self._fleet
        callers = []
        for node in fleet.nodes:
            prober = Caller(
                f'probes-{node.name}',
                node.name,
                node.addresses.callers,
                fleet.ledger,
            )
            callers.append(prober.send_probes(fleet.operators.choose_route))
            for kind in ('orders', 'views'):
                caller = Caller(
                    f'{kind}-{node.name}',
                    node.name,
                    node.addresses.callers,
                    fleet.ledger,
                    fleet.options.think_s,
                )
                is_order = kind == 'orders'
                send = caller.send_orders if is_order else caller.send_pipelined
                callers.append(send())
        return callers


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def node_breaches(node: NodeProcess) -> list[Breach]:
    """Return what the processes of a node did that none may do."""
    found = [
        Breach(Promise.PROCESS_RUNS, node.name, f'ended with {code}')
        for code in node.own_ends
    ]
    for log in node.logs:
        for line in log.read_text(errors='replace').splitlines():
            if '"level": "error"' in line or line.startswith('Traceback'):
                found.append(Breach(Promise.NO_OWN_ERROR, log.name, line[:200]))
    return found
