"""Egress: takes requests from callers and sends them to backend servers.

It creates the context of a request and refuses requests that must not be
sent; :mod:`bergamotmount.attempts` makes the attempts::

    outcome = await egress.call(Request('billhouse', 'invoice', body=order))
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator

from bergamotmount.attempts import AttemptRunner, EgressDependencies
from bergamotmount.clock import Clock
from bergamotmount.context import Context
from bergamotmount.counters import Counters
from bergamotmount.entrycheck import ENTRY_RETRY_AFTER_MS
from bergamotmount.outcomes import NotRun, Outcome, Unknown
from bergamotmount.policy import Operation
from bergamotmount.rank import rank_of
from bergamotmount.reasons import RefusalReason
from bergamotmount.request import Request
from bergamotmount.tokens import RetryPool

#: Maximum depth of nested calls.
MAX_DEPTH = 32

_ROLE = 'egress'
_ROOT_BITS = 96


class Egress:
    """Serves callers: outside clients and the local backend server."""

    def __init__(
        self,
        clock: Clock,
        deps: EgressDependencies,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        """Start without calls.

        ``rng`` generates root request ids and the jitter of the backoff.
        """
        self.active_calls = 0
        self._is_leaving = False
        self._clock = clock
        self._deps = deps
        self._counters = counters
        self._rng = rng
        self._attempts = AttemptRunner(clock, deps, counters, rng)

    async def call(self, request: Request) -> Outcome:
        """Return the outcome of a request.

        Cancelling the task cancels the request and all its nested calls.
        """
        if self._is_leaving:
            self.count_refusal(RefusalReason.DRAINING)
            return NotRun(RefusalReason.DRAINING, ENTRY_RETRY_AFTER_MS)
        self.active_calls += 1
        try:
            outcome = await self._call(request)
        finally:
            self.active_calls -= 1
        match outcome:
            case NotRun(reason):
                self._counters.refused(_ROLE, reason)
            case Unknown(reason):
                self._counters.unknown(_ROLE, reason)
        return outcome

    def refuse_new(self) -> None:
        """Refuse all further requests; those in progress go on."""
        self._is_leaving = True

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a request that was refused before it was parsed."""
        self._counters.refused(_ROLE, reason)

    async def _call(self, request: Request) -> Outcome:
        operation = self._find_operation(request)
        if isinstance(operation, NotRun):
            return operation
        parent = None
        if request.parent:
            parent = self._deps.active_contexts.get(request.parent)
            if parent is None:
                return NotRun(RefusalReason.UNKNOWN_PARENT)
        context = self._make_context(request, operation, parent)
        refusal = self._check(request, context, parent)
        if refusal is not None:
            return refusal
        if parent is None:
            return await self._attempts.run(request, context)
        with _registered_nested_call(parent):
            return await self._attempts.run(request, context)

    def _find_operation(self, request: Request) -> Operation | NotRun:
        operation_by_name = self._deps.policy().operation_by_name
        if not operation_by_name:
            return NotRun(RefusalReason.NO_POLICY, ENTRY_RETRY_AFTER_MS)
        operation = operation_by_name.get((request.service, request.operation))
        return operation or NotRun(RefusalReason.UNKNOWN_OPERATION)

    def _make_context(
        self,
        request: Request,
        operation: Operation,
        parent: Context | None,
    ) -> Context:
        timeout_ms = float(operation.timeout_ms)
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        deadline_ms = self._clock.now_ms() + timeout_ms
        level = max(operation.level, request.level)
        if parent is None:
            root = f'{self._rng.getrandbits(_ROOT_BITS):x}'
            entry_threshold = self._deps.entry_check.threshold_of(
                request.service,
                request.operation,
            )
            rank = rank_of(level, root)
            pool = RetryPool(self._deps.policy().retries.per_request)
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
            return self._check_nested(context, parent)
        if request.ticket:
            # The home of the ticket does the entry check, because a request
            # sent again with its ticket may join the first execution.
            return None
        if not context.idempotent:
            ticket = self._deps.issuer.issue_for_service(request.service)
            return NotRun(RefusalReason.TICKET_MISSING, ticket=ticket)
        return self._deps.entry_check.check(
            request.service,
            request.operation,
            context.rank,
        )

    def _check_nested(
        self,
        context: Context,
        parent: Context,
    ) -> NotRun | None:
        if context.idempotent or not parent.idempotent:
            return None
        # An idempotent parent may run twice and would repeat this call.
        return NotRun(RefusalReason.UNDECLARED_CALLEE)


@contextlib.contextmanager
def _registered_nested_call(parent: Context) -> Iterator[None]:
    task = asyncio.current_task()
    parent.nested_calls.add(task)
    try:
        yield
    finally:
        parent.nested_calls.discard(task)
