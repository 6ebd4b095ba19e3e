"""Links: long-lived connections to peers that many calls share.

A link opens its connection when it is first used, matches answers to attempts
and notices when the connection goes silent. Silence says nothing of the peer:
the link first opens a second connection and moves to it, and only when that
fails too it reports the peer as unreachable.
"""

import asyncio
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.member import Member
from bergamotmount.messages import Answer, Call, Cancel, Message, Ping
from bergamotmount.ports import (
    Channel,
    ChannelError,
    Dialer,
    Lost,
    NotSent,
    Reply,
)
from bergamotmount.reasons import DropReason

#: Silence after which a ping is sent while calls wait.
PING_MS = 250

#: Silence after which a connection is given up.
SILENT_MS = 1000

#: Time that opening a connection may take.
OPEN_TIMEOUT_MS = 700

#: Unused links are closed after this time.
IDLE_MS = 60_000

_LATE = Lost(by_deadline=True)

#: Called with a peer's address and a message that isn't an answer.
Receiver = Callable[[str, Message], None]


class Link:
    """Connection to one peer, reopened when it ends or goes silent."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer,
        address: str,
        counters: Counters,
        receiver: Receiver,
    ) -> None:
        """Prepare a link to ``ip:port``; it connects when it is used."""
        self.address = address
        self.used_ms = clock.now_ms()
        self._clock = clock
        self._dialer = dialer
        self._counters = counters
        self._receiver = receiver
        self._channel: Channel | None = None
        self._heard_ms: float = 0
        self._waiting_by_attempt: dict[int, asyncio.Future[Reply]] = {}
        self._opening = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_open(self) -> bool:
        """Whether the link has a connection now."""
        return self._channel is not None

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and the link has not been used for long."""
        idle_ms = self._clock.now_ms() - self.used_ms
        return not self._waiting_by_attempt and idle_ms > IDLE_MS

    async def call(self, call: Call) -> Reply:
        """Send a call and wait for the reply, at most its remaining time."""
        self.used_ms = self._clock.now_ms()
        deadline_ms = self.used_ms + call.remaining_ms
        channel = self._channel or await self._open()
        if channel is None:
            return NotSent()
        waiting = asyncio.get_running_loop().create_future()
        self._waiting_by_attempt[call.attempt] = waiting
        try:
            channel.send(call)
        except ChannelError:
            self._waiting_by_attempt.pop(call.attempt, None)
            self._drop(channel)
            return NotSent()
        return await self._await_reply(channel, call, waiting, deadline_ms)

    async def send(self, message: Message) -> bool:
        """Send a message; return whether a connection took it."""
        self.used_ms = self._clock.now_ms()
        channel = self._channel or await self._open()
        if channel is None:
            return False
        try:
            channel.send(message)
        except ChannelError:
            self._drop(channel)
            return False
        return True

    async def reopen(self) -> bool:
        """Move to a new connection because the present one is silent.

        Calls that wait on the old one are settled as lost. Return whether
        the new connection could be opened.
        """
        silent = self._channel
        self._channel = None
        if silent is not None:
            self._counters.dropped(DropReason.SILENT_CONNECTION)
            self._drop(silent)
        return await self._open() is not None

    def close(self) -> None:
        """Close the connection and settle what waits as lost."""
        if self._channel is not None:
            self._drop(self._channel)
        for task in self._tasks:
            task.cancel()

    async def _await_reply(
        self,
        channel: Channel,
        call: Call,
        waiting: 'asyncio.Future[Reply]',
        deadline_ms: float,
    ) -> Reply:
        remaining_ms = deadline_ms - self._clock.now_ms()
        timer = self._clock.call_later(remaining_ms, _expire, waiting)
        try:
            reply = await waiting
        except asyncio.CancelledError:
            _cancel_attempt(channel, call.attempt)
            raise
        finally:
            timer.cancel()
            self._waiting_by_attempt.pop(call.attempt, None)
        if reply is _LATE:
            _cancel_attempt(channel, call.attempt)
        return reply

    async def _open(self) -> Channel | None:
        async with self._opening:
            if self._channel is not None:
                return self._channel
            try:
                async with self._clock.timeout(OPEN_TIMEOUT_MS):
                    channel = await self._dialer.open(self.address)
            except (ChannelError, TimeoutError):
                return None
            self._channel = channel
            self._heard_ms = self._clock.now_ms()
            self._start(self._receive(channel))
            self._start(self._watch(channel))
            return channel

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _receive(self, channel: Channel) -> None:
        while True:
            try:
                message = await channel.receive()
            except ChannelError:
                self._drop(channel)
                return
            self._heard_ms = self._clock.now_ms()
            match message:
                case Answer():
                    self._settle(message)
                case Ping():
                    continue
                case _:
                    self._receiver(self.address, message)

    def _settle(self, answer: Answer) -> None:
        waiting = self._waiting_by_attempt.get(answer.attempt)
        if waiting is None or waiting.done():
            self._counters.dropped(DropReason.LATE_ANSWER)
            return
        waiting.set_result(answer)

    async def _watch(self, channel: Channel) -> None:
        while self._channel is channel:
            await self._clock.sleep(PING_MS)
            if not self._waiting_by_attempt:
                self._heard_ms = max(
                    self._heard_ms,
                    self._clock.now_ms() - PING_MS,
                )
                continue
            silent_ms = self._clock.now_ms() - self._heard_ms
            if silent_ms >= SILENT_MS and self._channel is channel:
                self._start(self.reopen())
                return
            if silent_ms >= PING_MS:
                _send_quietly(channel, Ping())

    def _drop(self, channel: Channel) -> None:
        channel.close()
        if self._channel not in {channel, None}:
            return
        self._channel = None
        waiting_by_attempt = self._waiting_by_attempt
        self._waiting_by_attempt = {}
        for waiting in waiting_by_attempt.values():
            if not waiting.done():
                waiting.set_result(Lost())


class LinkPool:
    """Links to all peers in use, by address: the peer transport."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer,
        counters: Counters,
        receiver: Receiver,
    ) -> None:
        """Open links by ``dialer``; hand other messages to ``receiver``."""
        self._clock = clock
        self._dialer = dialer
        self._counters = counters
        self._receiver = receiver
        self._link_by_address: dict[str, Link] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def open_links(self) -> int:
        """Number of links with a connection."""
        return sum(link.is_open for link in self._link_by_address.values())

    async def call(self, server: Member, call: Call) -> Reply:
        """Send a call to a server's node and wait for the reply."""
        return await self.link(server.address).call(call)

    def send(self, address: str, message: Message) -> None:
        """Send a message in the background, or drop it."""
        task = asyncio.create_task(self.link(address).send(message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def link(self, address: str) -> Link:
        """Return the link to an address, made on first use."""
        link = self._link_by_address.get(address)
        if link is None:
            link = Link(
                self._clock,
                self._dialer,
                address,
                self._counters,
                self._receiver,
            )
            self._link_by_address[address] = link
        return link

    def close_idle(self) -> None:
        """Close links that have not been used for long."""
        for address, link in list(self._link_by_address.items()):
            if link.is_idle:
                link.close()
                self._link_by_address.pop(address)

    def close(self) -> None:
        """Close all links."""
        for link in self._link_by_address.values():
            link.close()
        self._link_by_address.clear()


def _expire(waiting: 'asyncio.Future[Reply]') -> None:
    if not waiting.done():
        waiting.set_result(_LATE)


def _cancel_attempt(channel: Channel, attempt: int) -> None:
    _send_quietly(channel, Cancel(attempt))


def _send_quietly(channel: Channel, message: Message) -> None:
    try:
        channel.send(message)
    except ChannelError:
        return
