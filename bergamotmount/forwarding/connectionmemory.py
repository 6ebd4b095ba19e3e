"""Memory that one connection of a caller holds, and for how long.

It holds a request that is being received, those that wait for their replies,
replies that can't be written yet, and written ones that the caller hasn't
read. A caller that reads nothing for too long is found here too.
"""

import collections
from collections.abc import Callable

from bergamotmount.memoryaccount import (
    CONNECTION_BYTES,
    HoldingKind,
    MemoryAccount,
    headers_memory,
)


class WrittenSizes:
    """Sizes of the writes that a transport may still hold.

    It keeps a write whole until its last byte has been sent::

        sizes = WrittenSizes()
        sizes.add(8_000_000)
        sizes.held(unsent_bytes=100)  # 8000000
        sizes.held(unsent_bytes=0)    # 0
    """

    __slots__ = ('_sizes', '_sum')

    def __init__(self) -> None:
        """Start without writes."""
        self._sizes: collections.deque[int] = collections.deque()
        self._sum = 0

    def add(self, size: int) -> None:
        """Record a write."""
        self._sizes.append(size)
        self._sum += size

    def held(self, unsent_bytes: int) -> int:
        """Return the memory of the writes that hold the unsent bytes."""
        while self._sizes and self._sum - self._sizes[0] >= unsent_bytes:
            self._sum -= self._sizes.popleft()
        return self._sum


class ConnectionMemory:
    """Counts the bytes of one connection in the account of the process.

    ::

        memory = ConnectionMemory(account, HoldingKind.CALLER, give_up)
        memory.add_request(4096)
        memory.replace_by_reply(4096, memory.size_of(headers, body))
        memory.update(received_bytes=0, unsent_bytes=0)
    """

    __slots__ = (
        'waiting_bytes',
        '_account',
        '_holding',
        '_reply_bytes',
        '_unread_since_ms',
        '_unsent_bytes',
        '_written',
    )

    def __init__(
        self,
        account: MemoryAccount,
        kind: HoldingKind,
        shed: Callable[[], None],
    ) -> None:
        """Hold nothing yet; ``shed`` is called to free what can be."""
        self.waiting_bytes = 0
        self._account = account
        self._holding = account.open(kind, shed)
        self._reply_bytes = 0
        self._unsent_bytes = 0
        self._written = WrittenSizes()
        self._unread_since_ms = account.now_ms()

    def admits(self, size_bytes: int) -> bool:
        """Return whether there is memory for another request."""
        return self._account.admits(size_bytes)

    def add_request(self, size_bytes: int) -> None:
        """Hold a request that waits for its reply."""
        self.waiting_bytes += size_bytes

    def replace_by_reply(self, request_bytes: int, reply_bytes: int) -> None:
        """Hold a reply in place of its request."""
        self.waiting_bytes -= request_bytes
        self._reply_bytes += reply_bytes

    def write_reply(self, size_bytes: int) -> None:
        """Hold a reply as one that has been written."""
        self._reply_bytes -= size_bytes
        self._written.add(size_bytes)

    def clear(self) -> None:
        """Hold neither requests nor replies any more."""
        self.waiting_bytes = 0
        self._reply_bytes = 0

    def move(self) -> None:
        """Record that bytes have been received."""
        self._holding.move()

    def update(self, received_bytes: int, unsent_bytes: int) -> None:
        """Report what is held, and what of it can be given up at once.

        A request that is being received goes before replies.
        """
        unread_bytes = self._written.held(unsent_bytes) + self._reply_bytes
        self._holding.update(
            CONNECTION_BYTES
            + received_bytes
            + self.waiting_bytes
            + unread_bytes,
            received_bytes or unread_bytes,
        )

    def unread_ms(self, unsent_bytes: int) -> float:
        """Return for how long the caller has read none of its replies."""
        now_ms = self._account.now_ms()
        if unsent_bytes != self._unsent_bytes or not unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unread_since_ms = now_ms
            if unsent_bytes:
                self._holding.move()
        return now_ms - self._unread_since_ms

    def close(self) -> None:
        """Hold nothing any more."""
        self._holding.close()


def size_of_reply(headers: list[str], body: bytes) -> int:
    """Return the memory of a reply; names and texts alternate."""
    text_bytes = sum(map(len, headers))
    return headers_memory(len(headers) // 2, text_bytes) + len(body)
