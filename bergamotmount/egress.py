"""Egress: takes requests from callers and sends them to backend servers.

It makes the context of a request, checks what can be refused at once, and
leaves the attempts to :mod:`bergamotmount.attempts`::

    outcome = await egress.call(Request('billhouse', 'invoice', body=order))
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator

from bergamotmount.attempts import AttemptRunner, EgressParts
from bergamotmount.clock import Clock
from bergamotmount.context import Context
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import RETRY_AFTER_MS
from bergamotmount.outcomes import NotRun, Outcome, Unknown
from bergamotmount.policy import Operation
from bergamotmount.rank import rank_of
from bergamotmount.reasons import RefusalReason
from bergamotmount.request import Request
from bergamotmount.tokens import RetryPool

#: Deepest chain of calls that is served.
MAX_DEPTH = 32

_ROLE = 'egress'
_ROOT_BITS = 96


class Egress:
    """Serves callers of this node, outside ones and the own server."""

    def __init__(
        self,
        clock: Clock,
        parts: EgressParts,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Send calls with the given parts; ``rng`` spreads the retries."""
        self.open_calls = 0
        self._clock = clock
        self._parts = parts
        self._counters = counters
        self._rng = rng
        self._attempts = AttemptRunner(clock, parts, counters, rng)

    async def call(self, request: Request) -> Outcome:
        """Return the outcome of a request.

        Cancelling the task cancels the request and all calls below it.
        """
        self.open_calls += 1
        try:
            outcome = await self._call(request)
        finally:
            self.open_calls -= 1
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)
        return outcome

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a request that was refused before it could be understood."""
        self._counters.refused(_ROLE, reason)

    async def _call(self, request: Request) -> Outcome:
        operation = self._find_operation(request)
        if isinstance(operation, NotRun):
            return operation
        parent = None
        if request.parent:
            parent = self._parts.in_hand.get(request.parent)
            if parent is None:
                return NotRun(RefusalReason.UNKNOWN_PARENT)
        context = self._make_context(request, operation, parent)
        refusal = self._check(request, context, parent)
        if refusal is not None:
            return refusal
        if parent is None:
            return await self._attempts.run(request, context)
        with _as_child(parent):
            return await self._attempts.run(request, context)

    def _find_operation(self, request: Request) -> Operation | NotRun:
        operation_by_name = self._parts.policy().operation_by_name
        if not operation_by_name:
            return NotRun(RefusalReason.NO_POLICY, RETRY_AFTER_MS)
        operation = operation_by_name.get((request.service, request.operation))
        return operation or NotRun(RefusalReason.UNKNOWN_OPERATION)

    def _make_context(
        self,
        request: Request,
        operation: Operation,
        parent: Context | None,
    ) -> Context:
        granted_ms = float(operation.timeout_ms)
        if request.deadline_ms is not None:
            granted_ms = min(granted_ms, request.deadline_ms)
        deadline_ms = self._clock.now_ms() + granted_ms
        level = max(operation.level, request.level)
        if parent is None:
            root = f'{self._rng.getrandbits(_ROOT_BITS):x}'
            entry_threshold = self._parts.entry_check.threshold_of(
                request.service,
                request.operation,
            )
            rank = rank_of(level, root)
            pool = RetryPool(self._parts.policy().retries.per_request)
            depth = 1
        else:
            root = parent.root
            rank = min(parent.rank, rank_of(level, root))
            deadline_ms = min(deadline_ms, parent.deadline_ms)
            pool = parent.pool
            depth = parent.depth + 1
            entry_threshold = parent.entry_threshold
        return Context(
            root=root,
            rank=rank,
            deadline_ms=deadline_ms,
            pool=pool,
            service=request.service,
            operation=request.operation,
            idempotent=operation.is_retry_safe,
            depth=depth,
            entry_threshold=entry_threshold,
        )

    def _check(
        self,
        request: Request,
        context: Context,
        parent: Context | None,
    ) -> NotRun | None:
        if context.deadline_ms <= self._clock.now_ms():
            return NotRun(RefusalReason.DEADLINE_PASSED)
        if context.depth > MAX_DEPTH:
            return NotRun(RefusalReason.TOO_DEEP)
        if parent is not None:
            return self._check_child(context, parent)
        if request.ticket:
            # Its home does the entry check: a repeat may join its first copy.
            return None
        if not context.idempotent:
            ticket = self._parts.issuer.issue_for_service(request.service)
            return NotRun(RefusalReason.TICKET_MISSING, ticket=ticket)
        return self._parts.entry_check.check(
            request.service,
            request.operation,
            context.rank,
        )

    def _check_child(
        self,
        context: Context,
        parent: Context,
    ) -> NotRun | None:
        if context.idempotent or not parent.idempotent:
            return None
        # The parent may run twice, and would run this call twice with it.
        return NotRun(RefusalReason.UNDECLARED_CALLEE)


@contextlib.contextmanager
def _as_child(parent: Context) -> Iterator[None]:
    task = asyncio.current_task()
    parent.children.add(task)
    try:
        yield
    finally:
        parent.children.discard(task)
