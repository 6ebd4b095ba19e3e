"""Emulated network: channels between nodes, with delays and partitions.

An address starts with the name of its failure domain: ``domain/name``.
"""

import asyncio
import collections
import dataclasses

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.messages import Heartbeat, Message
from bergamotmount.ports import ChannelError

#: One-way delays between two failure domains, and within one.
CROSS_DOMAIN_DELAY_MS = 1.4
SAME_DOMAIN_DELAY_MS = 0.1

#: Time after which opening a connection across a partition fails.
OPEN_TIMEOUT_S = 5


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and connections between all nodes.

    ``member_updates`` counts the members in all heartbeats, the sender's own
    entry left out.
    """

    message_by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    member_updates: int = 0
    connections: int = 0
    refused_connections: int = 0

    def count_message(self, message: Message) -> None:
        """Count a message that is sent."""
        self.message_by_kind[type(message).__name__] += 1
        if isinstance(message, Heartbeat):
            self.member_updates += len(message.members) - 1


class Network:
    """Network between the nodes of all failure domains.

    Domains in ``isolated_domains`` are isolated from all others.
    """

    def __init__(self) -> None:
        """Start without hosts and without partitions."""
        self.host_by_address: dict[str, object] = {}
        self.isolated_domains: set[str] = set()
        self.traffic = Traffic()

    def is_partitioned(self, source: str, target: str) -> bool:
        """Return whether a partition separates two addresses."""
        domains = {_domain_of(source), _domain_of(target)}
        return len(domains) > 1 and bool(domains & self.isolated_domains)

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay between two addresses."""
        delay_ms = CROSS_DOMAIN_DELAY_MS
        if _domain_of(source) == _domain_of(target):
            delay_ms = SAME_DOMAIN_DELAY_MS
        return delay_ms / MS_PER_SECOND

    async def open(self, source: str, target: str) -> 'EmulatedChannel':
        """Return a channel to the host at ``target``, which serves it.

        Raise :class:`~bergamotmount.ports.ChannelError` if a partition
        separates the addresses or there is no host at ``target``.
        """
        if self.is_partitioned(source, target):
            await asyncio.sleep(OPEN_TIMEOUT_S)
            raise ChannelError('cut off')
        await asyncio.sleep(2 * self.delay_s(source, target))
        host = self.host_by_address.get(target)
        if host is None:
            self.traffic.refused_connections += 1
            raise ChannelError('connection refused')
        self.traffic.connections += 1
        local_end = EmulatedChannel(self, source, target)
        accepted = EmulatedChannel(self, target, source)
        local_end.remote_end = accepted
        accepted.remote_end = local_end
        host.serve(accepted)
        return local_end


class EmulatedChannel:
    """One end of a connection between two nodes."""

    def __init__(
        self,
        network: Network,
        local_address: str,
        remote_address: str,
    ) -> None:
        """Start open; :meth:`Network.open` sets the remote end."""
        self.remote_end: EmulatedChannel | None = None
        self._network = network
        self._local_address = local_address
        self._remote_address = remote_address
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._is_closed = False

    def send(self, message: Message) -> None:
        """Deliver a message to the remote end after the network delay.

        A message is lost without an error during a partition.
        """
        if self._is_closed:
            raise ChannelError('channel is closed')
        if not self._network.is_partitioned(
            self._local_address,
            self._remote_address,
        ):
            self._network.traffic.count_message(message)
            asyncio.get_running_loop().call_later(
                self._network.delay_s(
                    self._local_address,
                    self._remote_address,
                ),
                self.remote_end.deliver,
                message,
            )

    def deliver(self, message: Message | None) -> None:
        """Queue a message for this end; ``None`` ends the connection."""
        self._inbox.put_nowait(message)

    async def receive(self) -> Message:
        """Return the next message; raise :class:`ChannelError` at the end."""
        message = await self._inbox.get()
        if message is None:
            self._is_closed = True
            raise ChannelError('connection ended')
        return message

    def close(self) -> None:
        """Close this end, and the remote end unless there is a partition."""
        if not self._is_closed:
            self._is_closed = True
            self.deliver(None)
            if not self._network.is_partitioned(
                self._local_address,
                self._remote_address,
            ):
                self.remote_end.deliver(None)


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatedDialer:
    """Opens channels for the node at ``local_address``."""

    network: Network
    local_address: str

    async def open(self, address: str) -> EmulatedChannel:
        """Return a channel to the node at ``address``."""
        return await self.network.open(self.local_address, address)


def _domain_of(address: str) -> str:
    return address.partition('/')[0]
