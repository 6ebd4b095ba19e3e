"""Serving of peers: one task for each connection that a peer opened."""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotmount.counters import Counters
from bergamotmount.messages import Answer, Call, Cancel, Message, Ping
from bergamotmount.ports import Channel, ChannelError
from bergamotmount.reasons import DropReason

#: Runs a call and returns its answer.
CallHandler = Callable[[Call], Awaitable[Answer]]

#: Takes any other message and returns the messages to send back.
MessageHandler = Callable[[Message], list[Message]]


class PeerServer:
    """Receives messages on the connections that peers open."""

    def __init__(
        self,
        on_call: CallHandler,
        on_message: MessageHandler,
        counters: Counters,
    ) -> None:
        """Hand calls and other messages to the two handlers."""
        self._on_call = on_call
        self._on_message = on_message
        self._counters = counters
        self._running = 0

    @property
    def calls_running(self) -> int:
        """Number of calls that have no answer yet."""
        return self._running

    async def serve(self, channel: Channel) -> None:
        """Serve one connection until it ends, then cancel its calls."""
        task_by_attempt: dict[int, asyncio.Task] = {}
        try:
            while True:
                message = await channel.receive()
                self._take(channel, message, task_by_attempt)
        except ChannelError:
            return
        finally:
            channel.close()
            for task in task_by_attempt.values():
                task.cancel()

    def _take(
        self,
        channel: Channel,
        message: Message,
        task_by_attempt: dict[int, asyncio.Task],
    ) -> None:
        match message:
            case Call(attempt=attempt) if attempt in task_by_attempt:
                self._counters.dropped(DropReason.DUPLICATE_CALL)
            case Call(attempt=attempt):
                task = asyncio.create_task(self._answer(channel, message))
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
                for reply in self._on_message(message):
                    channel.send(reply)

    async def _answer(self, channel: Channel, call: Call) -> None:
        self._running += 1
        try:
            channel.send(await self._on_call(call))
        except ChannelError:
            return
        finally:
            self._running -= 1
