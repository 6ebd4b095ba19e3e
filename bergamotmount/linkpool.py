"""Links of one node to all its peers: one for each address in use."""

import asyncio

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.link import Link, Receiver
from bergamotmount.member import Member
from bergamotmount.messages import Call, Message
from bergamotmount.ports import Dialer, Reply


#: Minimum time between two probes of all links.
PROBE_INTERVAL_MS = 2000

#: Time between two regular checks from which on the process has paused.
MIN_PAUSE_MS = 1000


class LinkPool:
    """Peer transport that holds one link for each peer address in use."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer,
        counters: Counters,
        receiver: Receiver,
    ) -> None:
        """Connect with ``dialer``.

        ``receiver`` gets the messages that are neither answers nor pings.
        """
        self._clock = clock
        self._dialer = dialer
        self._counters = counters
        self._receiver = receiver
        self._link_by_address: dict[str, Link] = {}
        self._checked_ms = clock.now_ms()
        self._probed_ms = float('-inf')
        self._tasks: set[asyncio.Task] = set()

    @property
    def open_links(self) -> int:
        """Number of links with a connection."""
        return sum(link.is_open for link in self._link_by_address.values())

    async def call(self, server: Member, call: Call) -> Reply:
        """Send a call to a server's node and wait for the reply."""
        return await self.link(server.address).call(call)

    def is_suspect(self, address: str) -> bool:
        """Return whether a peer is silent, or slow to accept a connection."""
        link = self._link_by_address.get(address)
        return link is not None and link.is_suspect

    def send(self, address: str, message: Message) -> None:
        """Send a message in the background; drop it if that fails."""
        task = asyncio.create_task(self.link(address).send(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def link(self, address: str) -> Link:
        """Return the link to an address; create it on first use."""
        link = self._link_by_address.get(address)
        if link is None:
            link = Link(
                self._clock,
                self._dialer,
                address,
                self._counters,
                self._receiver,
                self.probe_all,
            )
            self._link_by_address[address] = link
        return link

    def check(self) -> None:
        """Close the links that are past the idle timeout; call regularly.

        After a pause of the process, during which no call was watched, the
        other links are probed.
        """
        now_ms = self._clock.now_ms()
        has_paused = now_ms - self._checked_ms > MIN_PAUSE_MS
        self._checked_ms = now_ms
        if has_paused:
            self.probe_all()
        for address, link in list(self._link_by_address.items()):
            if link.is_idle:
                link.close()
                self._link_by_address.pop(address)

    def close(self) -> None:
        """Close all links."""
        for link in self._link_by_address.values():
            link.close()
        self._link_by_address.clear()
        for task in list(self._tasks):
            task.cancel()

    def probe_all(self) -> None:
        """Find out which connections without pending calls are silent."""
        now_ms = self._clock.now_ms()
        if now_ms - self._probed_ms < PROBE_INTERVAL_MS:
            return
        self._probed_ms = now_ms
        for link in self._link_by_address.values():
            link.probe()
