"""The fault matrix, and proof that it catches guards that are turned off."""

import asyncio
import concurrent.futures
import contextlib
import unittest
from collections.abc import Callable, Iterator
from unittest import mock

from bergamotmount import (
    attempts,
    lifecycle,
    member,
    node,
    ticketstore,
    tokens,
)
from bergamotmount.outcomes import NotRun, Unknown
from bergamotmount.reasons import RefusalReason
from bergamotmount.tests import fakes
from bergamotmount.tests.faultmatrix import (
    Cell,
    paired_cells,
    run_cell,
    single_cells,
)

PAIRS = 400
PAIR_SEED = 20261203
COMMAND = "python -m bergamotmount.tests.faultmatrix '{0}'"


def run_all(cells: list[Cell]) -> list[str]:
    """Run cells on all cores and return a line for each broken promise."""
    with concurrent.futures.ProcessPoolExecutor() as pool:
        outcomes = pool.map(run_cell, cells, chunksize=8)
        return [
            f'{problem}; run alone: {COMMAND.format(cell.name)}'
            for cell, problems in zip(cells, outcomes, strict=True)
            for problem in problems
        ]


class FaultMatrixTest(unittest.TestCase):
    """Every fault at every step, alone and in pairs."""

    maxDiff = None

    def test_single_faults(self):
        self.assertEqual(run_all(single_cells()), [])

    def test_paired_faults(self):
        self.assertEqual(run_all(paired_cells(PAIRS, PAIR_SEED)), [])


def _grant_always(store, ticket, _fingerprint):
    store._entry_by_id[ticket.ticket_id] = ticketstore._Entry(
        0,
        asyncio.get_running_loop().create_future(),
    )
    return ticketstore.Granted()


def _say_not_run(_runner, _attempts, outcome):
    match outcome:
        case Unknown():
            return NotRun(RefusalReason.UNREACHABLE, ticket='')
        case _:
            return outcome


def _forget_tried(_runner, _attempts, retry):
    return retry


@contextlib.contextmanager
def _no_retry_limits() -> Iterator[None]:
    with (
        mock.patch.object(tokens.RetryPool, 'take', lambda _pool: True),
        mock.patch.object(tokens.RetryPool, 'tokens', 1),
        mock.patch.object(
            attempts.AttemptRunner, '_retry_elsewhere', _forget_tried
        ),
    ):
        yield


@contextlib.contextmanager
def _no_departure() -> Iterator[None]:
    with (
        mock.patch.object(lifecycle.ServerLifecycle, 'is_accepting', True),
        mock.patch.object(member.Member, 'is_routable', True),
    ):
        yield


async def _wait_for_nothing(_node, _is_busy):
    await asyncio.sleep(0)


@contextlib.contextmanager
def _no_waiting() -> Iterator[None]:
    with (
        mock.patch.object(node.Node, '_wait_while', _wait_for_nothing),
        mock.patch.object(node, 'LEAVE_NOTICE_MS', 0),
    ):
        yield


def _patch(target: object, name: str, replacement: object) -> Callable:
    return lambda: mock.patch.object(
        target,
        name,
        replacement,
        create=True,
    )


MUTANT_BY_GUARD: dict[str, tuple[Callable, str]] = {
    'a ticket is granted once': (
        _patch(ticketstore.TicketStore, 'claim', _grant_always),
        'silence@running:home:once:1',
    ),
    'a restart is a new incarnation': (
        _patch(
            fakes.FakeHost,
            'incarnation',
            property(lambda _host: 1, lambda _host, _number: None),
        ),
        'restart@running:home:once:1',
    ),
    'a lost call is unknown': (
        _patch(attempts.AttemptRunner, '_finish', _say_not_run),
        'kill@dispatched:home:once:1',
    ),
    'retry tokens run out': (
        _no_retry_limits,
        'lose-answer@context:home:many:1',
    ),
    'a draining server gets no new work': (
        _no_departure,
        'drain@context:home:many:1',
    ),
    'a planned stop waits for requests in flight': (
        _no_waiting,
        'stop@running:home:many:1',
    ),
}


class MutantTest(unittest.TestCase):
    """Without a guard, the cell that is about it breaks a promise."""

    def test_each_guard_is_needed(self):
        for guard, (mutate, name) in MUTANT_BY_GUARD.items():
            cell = Cell.parse(name)
            with self.subTest(guard=guard, cell=name):
                self.assertEqual(run_cell(cell), [])
                with mutate():
                    self.assertNotEqual(run_cell(cell), [])
