"""Links: long-lived connections to peers, each shared by many calls.

A link opens its connection on first use, matches answers to attempts and
detects a connection that has gone silent. A silent connection doesn't prove
that the peer has failed, so the link first moves to a new connection. Only if
that can't be opened does it report the peer as unreachable.

Load pattern: a failure domain is partitioned, and all calls to it wait until
their deadlines. A peer that doesn't answer a ping for a fraction of a second
gets no new calls while another peer can take them. Calls that need a new
connection share one attempt to open it, and none waits past its deadline.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.log import part_logger
from bergamotmount.messages import Answer, Call, Cancel, Message, Ping
from bergamotmount.ports import (
    Channel,
    ChannelError,
    Dialer,
    Lost,
    NotSent,
    Reply,
    UnsendableError,
)
from bergamotmount.reasons import DropReason

#: Silence after which a ping is sent while calls are pending, and the interval
#: at which silence is checked.
PING_INTERVAL_MS = 100

#: Silence after which a peer gets no new calls while other peers can take them.
SUSPECT_SILENCE_MS = 250

#: Silence after which a connection is replaced by a new one.
RECONNECT_SILENCE_MS = 500

#: Timeout for opening a connection.
OPEN_TIMEOUT_MS = 500

#: Time for opening a connection after which the peer gets no new calls while
#: other peers can take them.
SUSPECT_OPENING_MS = 100

#: Time without use after which a link is closed.
IDLE_TIMEOUT_MS = 60_000

_log = part_logger('links')

_DEADLINE_PASSED = Lost(by_deadline=True)

#: Called with a peer's address and a message that is no answer and no ping.
Receiver = Callable[[str, Message], None]


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    """One connection to the peer, with the times of its last activity."""

    channel: Channel
    received_ms: float
    pinged_ms: float = float('-inf')
    is_monitored: bool = False
    pending_by_attempt: 'dict[int, _PendingCall]' = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _PendingCall:
    """A call without an answer, and the connection it was sent on."""

    call: Call
    reply_future: 'asyncio.Future[Reply]'
    connection: _Connection

    @property
    def must_wait(self) -> bool:
        """Whether the call can't be sent a second time.

        Such a call stays pending on a silent connection, because its answer
        may still arrive.
        """
        return not self.call.idempotent and not self.call.ticket


def _ignore_silence() -> None:
    """Ignore that a connection has gone silent."""


class Link:
    """Connection to one peer, replaced when it ends or goes silent."""

    def __init__(
        self,
        clock: Clock,
        dialer: Dialer,
        address: str,
        counters: Counters,
        receiver: Receiver,
        on_silence: Callable[[], None] = _ignore_silence,
    ) -> None:
        """Create a link to ``ip:port`` that connects on first use.

        ``on_silence`` is called when its connection has gone silent.
        """
        self.address = address
        self.last_used_ms = clock.now_ms()
        self._clock = clock
        self._dialer = dialer
        self._counters = counters
        self._receiver = receiver
        self._on_silence = on_silence
        self._current: _Connection | None = None
        self._is_reconnecting = False
        self._pending_by_attempt: dict[int, _PendingCall] = {}
        self._opening: asyncio.Task | None = None
        self._opening_started_ms: float = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_open(self) -> bool:
        """Whether the link has a connection now."""
        return self._current is not None

    @property
    def is_idle(self) -> bool:
        """Whether no call is pending and the link is past the idle timeout."""
        idle_ms = self._clock.now_ms() - self.last_used_ms
        return not self._pending_by_attempt and idle_ms > IDLE_TIMEOUT_MS

    @property
    def is_suspect(self) -> bool:
        """Whether the peer is silent, or slow to accept a connection."""
        if self._is_reconnecting or self._is_slow_to_open:
            return True
        current = self._current
        if current is None or current.pinged_ms <= current.received_ms:
            return False
        return self._clock.now_ms() - current.received_ms >= SUSPECT_SILENCE_MS

    async def call(self, call: Call) -> Reply:
        """Send a call and wait for the reply, at most ``remaining_ms``."""
        self.last_used_ms = self._clock.now_ms()
        deadline_ms = self.last_used_ms + call.remaining_ms
        connection = await self._connect(call.remaining_ms)
        if connection is None:
            return NotSent()
        reply_future = asyncio.get_running_loop().create_future()
        pending = _PendingCall(call, reply_future, connection)
        self._add_pending(pending)
        try:
            connection.channel.send(call)
        except UnsendableError:
            self._remove_pending(pending)
            return NotSent()
        except ChannelError:
            self._remove_pending(pending)
            self._close_connection(connection)
            return NotSent()
        return await self._await_reply(pending, deadline_ms)

    async def send(self, message: Message) -> bool:
        """Send a message; return whether a connection accepted it."""
        self.last_used_ms = self._clock.now_ms()
        connection = await self._connect()
        if connection is None:
            return False
        try:
            connection.channel.send(message)
        except UnsendableError:
            return False
        except ChannelError:
            self._close_connection(connection)
            return False
        return True

    async def reconnect(self) -> bool:
        """Replace the current connection, which has gone silent.

        Calls pending on the old connection fail as lost, except those that
        can't be sent a second time: their answers may still arrive.
        Return whether the new connection could be opened.
        """
        replaced = self._current
        self._current = None
        self._is_reconnecting = True
        if replaced is not None:
            self._counters.dropped(DropReason.SILENT_CONNECTION)
            self._fail_retryable(replaced)
            self._close_if_unused(replaced)
        try:
            return await self._connect() is not None
        finally:
            self._is_reconnecting = False

    def probe(self) -> None:
        """Find out whether the connection has gone silent.

        One without pending calls isn't watched; what silenced another
        connection of this node may have silenced it too.
        """
        connection = self._current
        if connection is not None and not connection.is_monitored:
            self._start_task(self._await_sign(connection))

    def close(self) -> None:
        """Close all connections and fail the pending calls as lost."""
        connections = [
            pending.connection for pending in self._pending_by_attempt.values()
        ]
        if self._current is not None:
            connections.append(self._current)
        for connection in connections:
            self._close_connection(connection)
        for task in self._tasks:
            task.cancel()

    async def _await_sign(self, connection: _Connection) -> None:
        asked_ms = self._clock.now_ms()
        _send_ignoring_errors(connection.channel, Ping())
        await self._clock.sleep(RECONNECT_SILENCE_MS)
        is_silent = connection.received_ms < asked_ms
        is_watched = connection.is_monitored
        if is_silent and not is_watched and self._current is connection:
            await self.reconnect()

    async def _await_reply(
        self,
        pending: _PendingCall,
        deadline_ms: float,
    ) -> Reply:
        attempt = pending.call.attempt
        channel = pending.connection.channel
        remaining_ms = deadline_ms - self._clock.now_ms()
        timer = self._clock.call_later(
            remaining_ms, _reply_deadline_passed, pending.reply_future
        )
        try:
            reply = await pending.reply_future
        except asyncio.CancelledError:
            _cancel_attempt(channel, attempt)
            raise
        finally:
            timer.cancel()
            self._remove_pending(pending)
        if isinstance(reply, Lost):
            _cancel_attempt(channel, attempt)
        return reply

    @property
    def _is_slow_to_open(self) -> bool:
        if self._opening is None:
            return False
        opening_ms = self._clock.now_ms() - self._opening_started_ms
        return opening_ms >= SUSPECT_OPENING_MS

    async def _connect(
        self, max_wait_ms: float = OPEN_TIMEOUT_MS
    ) -> _Connection | None:
        """Return the connection, ``None`` if it isn't open in time.

        All that wait for a new connection share one attempt to open it.
        """
        if self._current is not None:
            return self._current
        if self._opening is None:
            self._opening = self._start_task(self._open())
            self._opening_started_ms = self._clock.now_ms()
        try:
            async with self._clock.timeout(max_wait_ms):
                await asyncio.wait((self._opening,))
        except TimeoutError:
            return None
        return self._current

    async def _open(self) -> None:
        try:
            async with self._clock.timeout(OPEN_TIMEOUT_MS):
                channel = await self._dialer.open(self.address)
        except (ChannelError, TimeoutError):
            return
        finally:
            self._opening = None
        connection = _Connection(channel, self._clock.now_ms())
        self._current = connection
        self._start_task(self._receive(connection))

    def _start_task(
        self, coroutine: Coroutine[None, None, object]
    ) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _receive(self, connection: _Connection) -> None:
        while True:
            try:
                message = await connection.channel.receive()
            except ChannelError:
                self._close_connection(connection)
                return
            connection.received_ms = self._clock.now_ms()
            match message:
                case Answer():
                    self._resolve(message)
                case Ping():
                    continue
                case _:
                    self._pass_on(message)

    def _pass_on(self, message: Message) -> None:
        try:
            self._receiver(self.address, message)
        except Exception:
            _log.exception('Message {} dropped.', type(message).__name__)
            self._counters.dropped(DropReason.INTERNAL_ERROR)

    def _resolve(self, answer: Answer) -> None:
        pending = self._pending_by_attempt.get(answer.attempt)
        if pending is None or pending.reply_future.done():
            self._counters.dropped(DropReason.LATE_ANSWER)
            return
        pending.reply_future.set_result(answer)

    def _add_pending(self, pending: _PendingCall) -> None:
        connection = pending.connection
        if not connection.pending_by_attempt:
            # Silence counts from the first call that waits for an answer.
            connection.received_ms = self._clock.now_ms()
        if not connection.is_monitored:
            connection.is_monitored = True
            self._start_task(self._monitor(connection))
        connection.pending_by_attempt[pending.call.attempt] = pending
        self._pending_by_attempt[pending.call.attempt] = pending

    def _remove_pending(self, pending: _PendingCall) -> None:
        attempt = pending.call.attempt
        self._pending_by_attempt.pop(attempt, None)
        pending.connection.pending_by_attempt.pop(attempt, None)

    async def _monitor(self, connection: _Connection) -> None:
        """Ping while calls are pending, and reconnect on silence."""
        while self._current is connection:
            await self._clock.sleep(PING_INTERVAL_MS)
            if not connection.pending_by_attempt:
                connection.pinged_ms = float('-inf')
                connection.is_monitored = False
                return
            self._check_silence(connection)
        while connection.pending_by_attempt:
            await self._clock.sleep(PING_INTERVAL_MS)
        connection.channel.close()

    def _check_silence(self, connection: _Connection) -> None:
        now_ms = self._clock.now_ms()
        silent_ms = now_ms - connection.received_ms
        if silent_ms >= RECONNECT_SILENCE_MS and self._current is connection:
            self._start_task(self.reconnect())
            self._on_silence()
        elif silent_ms >= PING_INTERVAL_MS:
            connection.pinged_ms = now_ms
            _send_ignoring_errors(connection.channel, Ping())

    def _fail_retryable(self, connection: _Connection) -> None:
        for pending in list(connection.pending_by_attempt.values()):
            if not pending.must_wait and not pending.reply_future.done():
                pending.reply_future.set_result(Lost())

    def _close_if_unused(self, connection: _Connection) -> None:
        if not any(
            pending.must_wait
            for pending in connection.pending_by_attempt.values()
        ):
            connection.channel.close()

    def _close_connection(self, connection: _Connection) -> None:
        connection.channel.close()
        if self._current is connection:
            self._current = None
        for pending in list(connection.pending_by_attempt.values()):
            if not pending.reply_future.done():
                pending.reply_future.set_result(Lost())


def _reply_deadline_passed(reply_future: 'asyncio.Future[Reply]') -> None:
    if not reply_future.done():
        reply_future.set_result(_DEADLINE_PASSED)


def _cancel_attempt(channel: Channel, attempt: int) -> None:
    _send_ignoring_errors(channel, Cancel(attempt))


def _send_ignoring_errors(channel: Channel, message: Message) -> None:
    try:
        channel.send(message)
    except ChannelError:
        return
