"""Context of a request while a node has it in hand."""

import asyncio
import dataclasses
import secrets

from bergamotmount.rank import OPEN_RANK
from bergamotmount.tokens import RetryPool

_KEY_BYTES = 9


@dataclasses.dataclass(slots=True)
class Context:
    """What a request may still do, and for whom.

    ``deadline_ms`` is on this node's clock. ``rank`` orders the request under
    overload; ``idempotent`` tells whether it may run more than once.
    ``entry_threshold`` is the rank up to which the entry let requests in.
    """

    root: str
    rank: float
    deadline_ms: float
    pool: RetryPool
    service: str
    operation: str
    idempotent: bool
    depth: int = 0
    entry_threshold: float = OPEN_RANK
    children: set[asyncio.Task] = dataclasses.field(default_factory=set)

    def cancel_children(self) -> None:
        """Cancel the child calls under way, and so the whole subtree."""
        for task in self.children:
            task.cancel()


class InHand:
    """Requests that the backend server works on, by parent key.

    The server presents the key with each child call, so a child inherits
    deadline, rank and tokens and the server can't widen them::

        key = in_hand.add(context)
        parent = in_hand.get(key)
        in_hand.remove(key)
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self._context_by_key: dict[str, Context] = {}

    def __len__(self) -> int:
        """Return the number of requests in hand."""
        return len(self._context_by_key)

    def add(self, context: Context) -> str:
        """Hold a context and return its key, which can't be guessed."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        self._context_by_key[key] = context
        return key

    def get(self, key: str) -> Context | None:
        """Return the context of a key, ``None`` when it isn't in hand."""
        return self._context_by_key.get(key)

    def remove(self, key: str) -> None:
        """Forget a key; child calls that present it are refused then."""
        self._context_by_key.pop(key, None)
