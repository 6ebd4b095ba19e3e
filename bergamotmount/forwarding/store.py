"""Port to what the platform's store keeps for the nodes."""

import dataclasses
from typing import Protocol

from bergamotmount.ports import LogError


class OvertakenError(LogError):
    """The records asked for are gone; read the newest ones instead."""


@dataclasses.dataclass(frozen=True, slots=True)
class StorePage:
    """Records, oldest first, and the offset that follows them."""

    records: list[bytes]
    next_offset: int


class KeyedStore(Protocol):
    """Newest policy record, and the addresses that nodes left.

    All methods raise :class:`~bergamotmount.ports.LogError` when the store
    gives no usable answer; a write may have happened then.
    """

    async def newest_policy(self) -> StorePage:
        """Return the newest policy record, if there is one."""

    async def follow_policy(self, offset: int, wait_ms: float) -> StorePage:
        """Return later policy records; wait when there are none.

        Raise :class:`OvertakenError` when the offset is no longer kept.
        """

    async def leave_address(self, node: str, address: str) -> None:
        """Leave a node's address for others; an empty one removes it."""

    async def addresses(self) -> list[str]:
        """Return the addresses of all nodes that left one."""
