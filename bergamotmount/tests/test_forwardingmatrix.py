"""Tests with the fault matrix of the users' path, and with disabled guards."""

import asyncio
import concurrent.futures
import contextlib
import unittest
from collections.abc import Callable, Iterator
from unittest import mock

from bergamotmount import lifecycle, member
from bergamotmount.forwarding.policywatch import PolicyWatch
from bergamotmount.forwarding.sender import Sender
from bergamotmount.forwarding.serverconnection import ServerConnection
from bergamotmount.linkpool import LinkPool
from bergamotmount.tests.faultmatrix import Cell
from bergamotmount.tests.forwardingmatrix import (
    paired_cells,
    run_cell,
    single_cells,
)

PAIRED_CELL_COUNT = 300
PAIRED_CELL_SEED = 20261205
COMMAND = "python -m bergamotmount.tests.forwardingmatrix '{0}'"

#: Connections of the entry go silent while no call is pending on them. An order
#: on one that heartbeats don't use waited for its deadline.
SILENT_ENTRY_CELLS = (
    'silence@arrived Answer:entry:many:1',
    'silence@arrived Answer:entry:once:1',
)


def run_all(cells: list[Cell]) -> list[str]:
    """Run cells in parallel and return a line for each violated guarantee."""
    with concurrent.futures.ProcessPoolExecutor() as pool:
        outcomes = pool.map(run_cell, cells, chunksize=8)
        return [
            f'{problem}; run alone with: {COMMAND.format(cell.name)}'
            for cell, problems in zip(cells, outcomes, strict=True)
            for problem in problems
        ]


@contextlib.contextmanager
def _no_departure_checks() -> Iterator[None]:
    with (
        mock.patch.object(lifecycle.ServerLifecycle, 'is_accepting', True),
        mock.patch.object(member.Member, 'is_routable', True),
    ):
        yield


async def _never_check(_: PolicyWatch) -> None:
    await asyncio.sleep(1)


def _patch(target: object, name: str, replacement: object) -> Callable:
    return lambda: mock.patch.object(target, name, replacement)


MUTANT_BY_GUARD: dict[str, tuple[Callable, str]] = {
    'a connection never carries a refused order again': (
        _patch(ServerConnection, 'may_carry', lambda *_: True),
        'shed-once+double@accepted:home:once:1',
    ),
    'an order that may have run is not sent again': (
        _patch(Sender, '_may_retry', lambda *_: True),
        'lose-answer@accepted:home:once:1',
    ),
    'a server that leaves gets no new requests': (
        _no_departure_checks,
        'drain@accepted:home:many:1',
    ),
    'the version is checked while the long poll is silent': (
        _patch(PolicyWatch, '_check', _never_check),
        'silence-change@accepted:home:many:1',
    ),
    'silent connections are found while no call waits': (
        _patch(LinkPool, 'probe_all', lambda _: None),
        'silence@arrived Answer:entry:once:1',
    ),
}


class ForwardingMatrixTest(unittest.TestCase):
    """Faults at any step must not violate a guarantee, alone or in pairs."""

    maxDiff = None

    def test_single_faults(self):
        self.assertEqual(run_all(single_cells()), [])

    def test_paired_faults(self):
        cells = paired_cells(PAIRED_CELL_COUNT, PAIRED_CELL_SEED)
        self.assertEqual(run_all(cells), [])

    def test_silent_connections_of_the_entry(self):
        """Orders were lost on connections that had gone silent unnoticed."""
        cells = [Cell.parse(name) for name in SILENT_ENTRY_CELLS]
        self.assertEqual([run_cell(cell) for cell in cells], [[], []])


class MutantTest(unittest.TestCase):
    """The matrix must notice when a guard no longer works.

    The cell of each guard passes, and fails while the guard is disabled.
    """

    def test_each_guard_is_needed(self):
        for guard, (disable_guard, name) in MUTANT_BY_GUARD.items():
            cell = Cell.parse(name)
            with self.subTest(guard=guard, cell=name):
                self.assertEqual(run_cell(cell), [])
                with disable_guard():
                    self.assertNotEqual(run_cell(cell), [])
