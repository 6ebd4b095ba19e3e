"""Context of a request while a node handles it."""

import asyncio
import dataclasses
import secrets

from bergamotmount.rank import ADMIT_ALL_RANK
from bergamotmount.tokens import RetryPool

_KEY_BYTES = 9


@dataclasses.dataclass(slots=True)
class Context:
    """Limits and origin of a request, inherited by its nested calls.

    ``deadline_ms`` is an absolute time on this node's clock. ``rank`` is the
    priority under overload, lowest first; ``idempotent`` tells whether the
    request may run more than once. ``entry_threshold`` is the threshold that
    the entry node applied to the root request.
    """

    root: str
    rank: float
    deadline_ms: float
    pool: RetryPool
    service: str
    operation: str
    idempotent: bool
    depth: int = 0
    entry_threshold: float = ADMIT_ALL_RANK
    nested_calls: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def cancel_nested_calls(self) -> None:
        """Cancel the nested calls in progress, with the calls below them."""
        for task in self.nested_calls:
            task.cancel()


class ActiveContexts:
    """Contexts of the requests that the backend server executes, by key.

    The server sends the key with each nested call. The call inherits deadline,
    rank and retry tokens from this context, so the server can't extend them::

        key = active_contexts.add(context)
        parent = active_contexts.get(key)
        active_contexts.remove(key)
    """

    def __init__(self) -> None:
        """Start without active requests."""
        self._context_by_key: dict[str, Context] = {}

    def __len__(self) -> int:
        """Return the number of active requests."""
        return len(self._context_by_key)

    def add(self, context: Context) -> str:
        """Store a context and return its key, which can't be guessed."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        self._context_by_key[key] = context
        return key

    def get(self, key: str) -> Context | None:
        """Return the context of a key, ``None`` if it isn't active."""
        return self._context_by_key.get(key)

    def remove(self, key: str) -> None:
        """Remove a key; nested calls that send it later are refused."""
        self._context_by_key.pop(key, None)
