"""Server side of peer connections: one task for each connection."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from bergamotmount.clock import Clock
from bergamotmount.counters import Counters
from bergamotmount.log import part_logger
from bergamotmount.memoryaccount import (
    REQUEST_BYTES,
    HoldingKind,
    MemoryAccount,
    headers_memory,
)
from bergamotmount.messages import (
    MAX_BODY_BYTES,
    Answer,
    Call,
    Cancel,
    Message,
    Ping,
)
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import Channel, ChannelError, UnsendableError
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason

#: Time after which a call may be repeated that was refused for lack of memory.
NO_MEMORY_RETRY_MS = 1000

_log = part_logger('peers')

#: Runs a call and returns its answer.
CallHandler = Callable[[Call], Awaitable[Answer]]

#: Handles any other message and returns the messages to send back.
MessageHandler = Callable[[Message], list[Message]]


class PeerServer:
    """Serves the connections that peers open."""

    def __init__(
        self,
        on_call: CallHandler,
        on_message: MessageHandler,
        counters: Counters,
        account: MemoryAccount | None = None,
    ) -> None:
        """Dispatch calls to ``on_call``, other messages to ``on_message``.

        Calls in progress count in ``account``.
        """
        self._account = account or MemoryAccount(Clock())
        self._holding = self._account.open(HoldingKind.PEER, _keep_calls)
        self._held_bytes = 0
        self._on_call = on_call
        self._on_message = on_message
        self._counters = counters
        self._active_calls = 0

    @property
    def active_calls(self) -> int:
        """Number of calls being handled."""
        return self._active_calls

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until it closes, then cancel its calls."""
        task_by_attempt: dict[int, asyncio.Task] = {}
        try:
            while True:
                message = await channel.receive()
                self._dispatch(channel, message, task_by_attempt)
        except ChannelError:
            return
        finally:
            channel.close()
            for task in task_by_attempt.values():
                task.cancel()

    def _dispatch(
        self,
        channel: Channel,
        message: Message,
        task_by_attempt: dict[int, asyncio.Task],
    ) -> None:
        match message:
            case Call(attempt=attempt) if attempt in task_by_attempt:
                self._counters.dropped(DropReason.DUPLICATE_CALL)
            case Call(attempt=attempt):
                task = asyncio.create_task(self._run_call(channel, message))
                task_by_attempt[attempt] = task
                task.add_done_callback(
                    lambda _: task_by_attempt.pop(attempt, None),
                )
            case Cancel(attempt):
                task = task_by_attempt.get(attempt)
                if task is not None:
                    task.cancel()
            case Ping():
                channel.send(Ping(reply=True))
            case _:
                _send_replies(channel, self._handle(message))

    def _handle(self, message: Message) -> list[Message]:
        """Return the replies to a message, none if it can't be handled."""
        try:
            return self._on_message(message)
        except Exception:
            _log.exception('Message {} dropped.', type(message).__name__)
            self._counters.dropped(DropReason.INTERNAL_ERROR)
            return []

    async def _run_call(self, channel: Channel, call: Call) -> None:
        self._active_calls += 1
        held_bytes = _memory_of(call)
        is_admitted = self._account.admits(held_bytes)
        try:
            if is_admitted:
                self._hold(held_bytes)
                _send_answer(channel, await self._answer(call))
            else:
                self._counters.dropped(DropReason.NO_MEMORY)
                _send_answer(channel, _no_memory(call.attempt))
        except ChannelError:
            return
        finally:
            self._active_calls -= 1
            if is_admitted:
                self._hold(-held_bytes)

    def _hold(self, more_bytes: int) -> None:
        self._held_bytes += more_bytes
        self._holding.update(self._held_bytes)

    async def _answer(self, call: Call) -> Answer:
        """Return the answer to a call; after an error it may have run."""
        try:
            answer = await self._on_call(call)
        except Exception:
            _log.exception('Call of request {} failed.', call.root)
            self._counters.dropped(DropReason.INTERNAL_ERROR)
            return _answer_lost(call.attempt)
        if not _fits_message(answer):
            # It would end the connection, and all calls on it.
            too_large = Unknown(UnknownReason.ANSWER_TOO_LARGE)
            return dataclasses.replace(answer, outcome=too_large)
        return answer


def _answer_lost(attempt: int) -> Answer:
    """Return the answer to a call that may have run."""
    return Answer(attempt, Unknown(UnknownReason.ANSWER_LOST))


def _no_memory(attempt: int) -> Answer:
    """Return the answer to a call that wasn't passed on."""
    refusal = NotRun(RefusalReason.NO_MEMORY, NO_MEMORY_RETRY_MS)
    return Answer(attempt, refusal)


def _memory_of(call: Call) -> int:
    text_bytes = sum(map(len, call.headers))
    headers_bytes = headers_memory(len(call.headers) // 2, text_bytes)
    return REQUEST_BYTES + headers_bytes + len(call.body)


def _keep_calls() -> None:
    """Free nothing: calls in progress may be with the server."""


def _send_answer(channel: Channel, answer: Answer) -> None:
    try:
        channel.send(answer)
    except UnsendableError:
        channel.send(_answer_lost(answer.attempt))


def _send_replies(channel: Channel, replies: list[Message]) -> None:
    for reply in replies:
        # The channel reports what can't be encoded.
        with contextlib.suppress(UnsendableError):
            channel.send(reply)


def _fits_message(answer: Answer) -> bool:
    outcome = answer.outcome
    return not (
        isinstance(outcome, Answered) and len(outcome.body) > MAX_BODY_BYTES
    )
