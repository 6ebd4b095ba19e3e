"""Bound on the incomplete responses of one server."""

from bergamotmount.memoryaccount import MemoryAccount

#: Maximum size of the incomplete responses of one server together, so that a
#: server whose responses never end can't use up the memory of the process.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class ResponseBuffer:
    """Counts the bytes of incomplete responses on all connections of a pool.

    ::

        buffer = ResponseBuffer()
        if not buffer.reserve(len(part)):
            ...  # give this response up
        buffer.release(len(part))
    """

    def __init__(
        self,
        max_bytes: int = MAX_BUFFERED_BYTES,
        account: MemoryAccount | None = None,
    ) -> None:
        """Start empty; the connections also hold memory of ``account``."""
        self.account = account
        self._max_bytes = max_bytes
        self._used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Count bytes; return whether the maximum still holds."""
        self._used_bytes += size
        return self._used_bytes <= self._max_bytes

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self._used_bytes -= size
