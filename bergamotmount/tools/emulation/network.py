"""Network of the emulation: channels between nodes, with delays and cuts."""

import asyncio
import dataclasses

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.messages import Message
from bergamotmount.ports import ChannelError

#: Time from one failure domain to another, and within one.
FAR_MS = 1.4
NEAR_MS = 0.1

#: Time after which opening a connection over a cut fails.
OPEN_TIMEOUT_S = 5


class Network:
    """Carries messages between the nodes of all failure domains."""

    def __init__(self) -> None:
        """Start without hosts and cuts."""
        self.host_by_address: dict[str, object] = {}
        self.cut_domains: set[str] = set()
        self.messages = 0

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing gets from one address to another."""
        domains = {_domain_of(source), _domain_of(target)}
        return len(domains) > 1 and bool(domains & self.cut_domains)

    def delay_s(self, source: str, target: str) -> float:
        """Return the time from one address to another."""
        delay_ms = FAR_MS
        if _domain_of(source) == _domain_of(target):
            delay_ms = NEAR_MS
        return delay_ms / MS_PER_SECOND

    async def open(self, source: str, target: str) -> 'PlayedChannel':
        """Return a channel, served at its other end."""
        if self.is_cut(source, target):
            await asyncio.sleep(OPEN_TIMEOUT_S)
            raise ChannelError('cut off')
        await asyncio.sleep(2 * self.delay_s(source, target))
        host = self.host_by_address.get(target)
        if host is None:
            raise ChannelError('refused')
        near = PlayedChannel(self, source, target)
        far = PlayedChannel(self, target, source)
        near.other = far
        far.other = near
        host.serve(far)
        return near


class PlayedChannel:
    """One end of a connection between two nodes."""

    def __init__(self, network: Network, own: str, peer: str) -> None:
        """Belong to the node at address ``own``."""
        self.other: PlayedChannel | None = None
        self._network = network
        self._own = own
        self._peer = peer
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._is_closed = False

    def send(self, message: Message) -> None:
        """Hand a message to the network."""
        if self._is_closed:
            raise ChannelError('closed')
        if not self._network.is_cut(self._own, self._peer):
            self._network.messages += 1
            asyncio.get_running_loop().call_later(
                self._network.delay_s(self._own, self._peer),
                self.other.arrive,
                message,
            )

    def arrive(self, message: Message | None) -> None:
        """Take what the other end sent; ``None`` ends the connection."""
        self._inbox.put_nowait(message)

    async def receive(self) -> Message:
        """Return the next message."""
        message = await self._inbox.get()
        if message is None:
            self._is_closed = True
            raise ChannelError('ended')
        return message

    def close(self) -> None:
        """Close both ends."""
        if not self._is_closed:
            self._is_closed = True
            self.arrive(None)
            if not self._network.is_cut(self._own, self._peer):
                self.other.arrive(None)


@dataclasses.dataclass(frozen=True, slots=True)
class PlayedDialer:
    """Dialer of the node at one address."""

    network: Network
    own: str

    async def open(self, address: str) -> PlayedChannel:
        """Return a channel to another node."""
        return await self.network.open(self.own, address)


def _domain_of(address: str) -> str:
    return address.partition('/')[0]
