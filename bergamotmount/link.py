"""Links: long-lived connections to peers that many calls share.

A link opens its connection when it is first used, matches answers to attempts
and notices when the connection goes silent. Silence says nothing of the peer:
the link first opens a second connection and moves to it, and only when that
fails too it reports the peer as unreachable.

Load pattern: a failure domain is cut off, and all calls to it wait for their
deadlines. A peer that doesn't answer a ping for a fraction of a second gets
no new calls while another one can take them.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine

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

#: Silence after which a ping is sent while calls wait, and how often it is
#: looked for.
PING_MS = 100

#: Silence after which a peer gets no new calls while there are others.
SUSPECT_MS = 250

#: Silence after which a connection is given up.
SILENT_MS = 500

#: Time that opening a connection may take.
OPEN_TIMEOUT_MS = 500

#: Unused links are closed after this time.
IDLE_MS = 60_000

_LATE = Lost(by_deadline=True)

#: Called with a peer's address and a message that isn't an answer.
Receiver = Callable[[str, Message], None]


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """One connection to the peer, and when it was heard last."""

    channel: Channel
    heard_ms: float
    pinged_ms: float = float('-inf')


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A call without an answer, and the connection that it went out on."""

    call: Call
    replied: 'asyncio.Future[Reply]'
    connection: _Connection

    @property
    def is_patient(self) -> bool:
        """Whether asking elsewhere would help nobody.

        The answer of a request that can't be repeated may still come, while
        a second send can't be had.
        """
        return not self.call.idempotent and not self.call.ticket


class Link:
    """Connection to one peer, replaced when it ends or goes silent."""

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
        self._current: _Connection | None = None
        self._is_replacing = False
        self._waiting_by_attempt: dict[int, _Waiting] = {}
        self._opening = asyncio.Lock()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_open(self) -> bool:
        """Whether the link has a connection now."""
        return self._current is not None

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and the link has not been used for long."""
        idle_ms = self._clock.now_ms() - self.used_ms
        return not self._waiting_by_attempt and idle_ms > IDLE_MS

    @property
    def is_suspect(self) -> bool:
        """Whether the peer has been silent although it was asked."""
        if self._is_replacing:
            return True
        current = self._current
        if current is None or current.pinged_ms <= current.heard_ms:
            return False
        return self._clock.now_ms() - current.heard_ms >= SUSPECT_MS

    async def call(self, call: Call) -> Reply:
        """Send a call and wait for the reply, at most its remaining time."""
        self.used_ms = self._clock.now_ms()
        deadline_ms = self.used_ms + call.remaining_ms
        connection = self._current or await self._open()
        if connection is None:
            return NotSent()
        replied = asyncio.get_running_loop().create_future()
        waiting = _Waiting(call, replied, connection)
        self._waiting_by_attempt[call.attempt] = waiting
        try:
            connection.channel.send(call)
        except ChannelError:
            self._waiting_by_attempt.pop(call.attempt, None)
            self._drop(connection)
            return NotSent()
        return await self._await_reply(waiting, deadline_ms)

    async def send(self, message: Message) -> bool:
        """Send a message; return whether a connection took it."""
        self.used_ms = self._clock.now_ms()
        connection = self._current or await self._open()
        if connection is None:
            return False
        try:
            connection.channel.send(message)
        except ChannelError:
            self._drop(connection)
            return False
        return True

    async def reopen(self) -> bool:
        """Move to a new connection because the present one is silent.

        Calls that wait on the old one are settled as lost, but for those
        that no other server may get: their answers may still come. Return
        whether the new connection could be opened.
        """
        silent = self._current
        self._current = None
        self._is_replacing = True
        if silent is not None:
            self._counters.dropped(DropReason.SILENT_CONNECTION)
            self._settle_impatient(silent)
            self._close_unused(silent)
        try:
            return await self._open() is not None
        finally:
            self._is_replacing = False

    def close(self) -> None:
        """Close all connections and settle what waits as lost."""
        connections = [
            waiting.connection for waiting in self._waiting_by_attempt.values()
        ]
        if self._current is not None:
            connections.append(self._current)
        for connection in connections:
            self._drop(connection)
        for task in self._tasks:
            task.cancel()

    async def _await_reply(
        self,
        waiting: _Waiting,
        deadline_ms: float,
    ) -> Reply:
        attempt = waiting.call.attempt
        channel = waiting.connection.channel
        remaining_ms = deadline_ms - self._clock.now_ms()
        timer = self._clock.call_later(remaining_ms, _expire, waiting.replied)
        try:
            reply = await waiting.replied
        except asyncio.CancelledError:
            _cancel_attempt(channel, attempt)
            raise
        finally:
            timer.cancel()
            self._waiting_by_attempt.pop(attempt, None)
        if isinstance(reply, Lost):
            _cancel_attempt(channel, attempt)
        return reply

    async def _open(self) -> _Connection | None:
        async with self._opening:
            if self._current is not None:
                return self._current
            try:
                async with self._clock.timeout(OPEN_TIMEOUT_MS):
                    channel = await self._dialer.open(self.address)
            except (ChannelError, TimeoutError):
                return None
            connection = _Connection(channel, self._clock.now_ms())
            self._current = connection
            self._start(self._receive(connection))
            self._start(self._watch(connection))
            return connection

    def _start(self, coroutine: Coroutine[None, None, object]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _receive(self, connection: _Connection) -> None:
        while True:
            try:
                message = await connection.channel.receive()
            except ChannelError:
                self._drop(connection)
                return
            connection.heard_ms = self._clock.now_ms()
            match message:
                case Answer():
                    self._settle(message)
                case Ping():
                    continue
                case _:
                    self._receiver(self.address, message)

    def _settle(self, answer: Answer) -> None:
        waiting = self._waiting_by_attempt.get(answer.attempt)
        if waiting is None or waiting.replied.done():
            self._counters.dropped(DropReason.LATE_ANSWER)
            return
        waiting.replied.set_result(answer)

    async def _watch(self, connection: _Connection) -> None:
        """Ping while calls wait, and move on when nothing comes back."""
        while self._current is connection:
            await self._clock.sleep(PING_MS)
            now_ms = self._clock.now_ms()
            if not self._waiting_on(connection):
                connection.heard_ms = max(connection.heard_ms, now_ms - PING_MS)
                continue
            silent_ms = now_ms - connection.heard_ms
            if silent_ms >= SILENT_MS and self._current is connection:
                self._start(self.reopen())
            elif silent_ms >= PING_MS:
                connection.pinged_ms = now_ms
                _send_quietly(connection.channel, Ping())
        while self._waiting_on(connection):
            await self._clock.sleep(PING_MS)
        connection.channel.close()

    def _waiting_on(self, connection: _Connection) -> list[_Waiting]:
        return [
            waiting
            for waiting in self._waiting_by_attempt.values()
            if waiting.connection is connection
        ]

    def _settle_impatient(self, connection: _Connection) -> None:
        for waiting in self._waiting_on(connection):
            if not waiting.is_patient and not waiting.replied.done():
                waiting.replied.set_result(Lost())

    def _close_unused(self, connection: _Connection) -> None:
        if not any(each.is_patient for each in self._waiting_on(connection)):
            connection.channel.close()

    def _drop(self, connection: _Connection) -> None:
        connection.channel.close()
        if self._current is connection:
            self._current = None
        for waiting in self._waiting_on(connection):
            if not waiting.replied.done():
                waiting.replied.set_result(Lost())


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

    def is_suspect(self, address: str) -> bool:
        """Return whether a peer has been silent although it was asked."""
        link = self._link_by_address.get(address)
        return link is not None and link.is_suspect

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
