"""Tests of links: silence, moves to new connections, and what waits."""

import asyncio

from bergamotmount.clock import LoopClock
from bergamotmount.link import SILENT_MS, SUSPECT_MS, LinkPool
from bergamotmount.member import Member
from bergamotmount.messages import Answer, Call, Cancel, Message, Ping
from bergamotmount.outcomes import Answered
from bergamotmount.ports import ChannelError, Lost, NotSent
from bergamotmount.tests.fakes import CountingCounters
from bergamotmount.tests.virtualtime import VirtualTestCase

PEER = Member('b-1', 'b-1:1', 'r', 'fd', 1)


class PlayedChannel:
    """Channel whose other end a test plays."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.is_silent = False
        self.is_closed = False

    def send(self, message: Message) -> None:
        if self.is_closed:
            raise ChannelError('closed')
        self.sent.append(message)
        if isinstance(message, Ping) and not self.is_silent:
            self.inbox.put_nowait(Ping(reply=True))

    async def receive(self) -> Message:
        message = await self.inbox.get()
        if message is None:
            raise ChannelError('ended')
        return message

    def close(self) -> None:
        self.is_closed = True
        self.inbox.put_nowait(None)

    def answer(self, attempt: int) -> None:
        self.inbox.put_nowait(Answer(attempt, Answered(200, [], b'')))


class PlayedDialer:
    """Dialer that opens such channels, or hangs."""

    def __init__(self) -> None:
        self.channels: list[PlayedChannel] = []
        self.is_cut = False

    async def open(self, address: str) -> PlayedChannel:
        if self.is_cut:
            await asyncio.sleep(60)
        channel = PlayedChannel()
        self.channels.append(channel)
        return channel


def call(attempt: int, *, idempotent: bool = True, ticket: str = '') -> Call:
    """Return a call with three seconds left."""
    return Call(
        attempt,
        'root',
        1,
        3000,
        0,
        'b',
        'read',
        idempotent=idempotent,
        ticket=ticket,
    )


class LinkTest(VirtualTestCase):
    """A silent connection is told from a peer that takes its time."""

    async def make(self, *calls: Call) -> None:
        self.dialer = PlayedDialer()
        self.pool = LinkPool(
            LoopClock(),
            self.dialer,
            CountingCounters(),
            lambda address, message: None,
        )
        self.tasks = [
            asyncio.create_task(self.pool.call(PEER, each)) for each in calls
        ]
        await asyncio.sleep(0.01)

    def is_suspect(self) -> bool:
        return self.pool.is_suspect(PEER.address)

    async def test_a_slow_answer_of_a_peer_that_pings_is_no_silence(self):
        await self.make(call(1))
        await asyncio.sleep(2)
        self.assertFalse(self.is_suspect())
        self.dialer.channels[0].answer(1)
        reply = await self.tasks[0]
        self.assertEqual(reply.outcome.status, 200)
        self.assertEqual(len(self.dialer.channels), 1)

    async def test_a_silent_peer_is_suspected_soon_and_trusted_again(self):
        await self.make(call(1))
        self.dialer.channels[0].is_silent = True
        await asyncio.sleep((SUSPECT_MS + 60) / 1000)
        self.assertTrue(self.is_suspect())
        self.dialer.channels[0].answer(1)
        await self.tasks[0]
        self.assertFalse(self.is_suspect())

    async def test_a_silent_connection_is_replaced(self):
        await self.make(call(1), call(2, idempotent=False))
        old = self.dialer.channels[0]
        old.is_silent = True
        await asyncio.sleep((SILENT_MS + 150) / 1000)
        self.assertEqual(self.tasks[0].result(), Lost())
        self.assertIn(Cancel(1), old.sent)
        self.assertFalse(self.tasks[1].done())
        self.assertFalse(self.is_suspect())
        reply = asyncio.create_task(self.pool.call(PEER, call(3)))
        await asyncio.sleep(0.01)
        self.dialer.channels[1].answer(3)
        self.assertEqual((await reply).outcome.status, 200)

    async def test_a_late_answer_on_the_old_connection_still_counts(self):
        await self.make(call(2, idempotent=False))
        old = self.dialer.channels[0]
        old.is_silent = True
        await asyncio.sleep(1.2)
        self.assertFalse(old.is_closed)
        old.answer(2)
        self.assertEqual((await self.tasks[0]).outcome.status, 200)
        await asyncio.sleep(0.2)
        self.assertTrue(old.is_closed)

    async def test_the_deadline_ends_what_nobody_answers(self):
        await self.make(call(2, idempotent=False))
        self.dialer.channels[0].is_silent = True
        self.assertEqual(await self.tasks[0], Lost(by_deadline=True))
        await asyncio.sleep(0.2)
        self.assertTrue(self.dialer.channels[0].is_closed)

    async def test_a_ticket_may_be_asked_for_again(self):
        await self.make(call(1, idempotent=False, ticket='t'))
        self.dialer.channels[0].is_silent = True
        await asyncio.sleep((SILENT_MS + 150) / 1000)
        self.assertEqual(self.tasks[0].result(), Lost())

    async def test_a_peer_that_cannot_be_reached_stays_suspect(self):
        await self.make(call(1))
        self.dialer.channels[0].is_silent = True
        self.dialer.is_cut = True
        await asyncio.sleep((SILENT_MS + 150) / 1000)
        self.assertTrue(self.is_suspect())
        self.assertEqual(await self.pool.call(PEER, call(2)), NotSent())

    async def test_the_end_of_a_connection_loses_what_waits(self):
        await self.make(call(1), call(2, idempotent=False))
        self.dialer.channels[0].close()
        for task in self.tasks:
            self.assertEqual(await task, Lost())
