"""Tests of links: silence, reconnects and pending calls."""

import asyncio

from bergamotmount.clock import MS_PER_SECOND, LoopClock
from bergamotmount.link import (
    OPEN_TIMEOUT_MS,
    RECONNECT_SILENCE_MS,
    SUSPECT_OPENING_MS,
    SUSPECT_SILENCE_MS,
)
from bergamotmount.linkpool import (
    MIN_PAUSE_MS,
    LinkPool,
)
from bergamotmount.member import Member
from bergamotmount.messages import Answer, Call, Cancel, Message, Ping
from bergamotmount.outcomes import Answered
from bergamotmount.ports import ChannelError, Lost, NotSent
from bergamotmount.tests.fakes import RecordingCounters
from bergamotmount.tests.virtualtime import VirtualTestCase

PEER = Member('b-1', 'b-1:1', 'r', 'fd', 1)


class ScriptedChannel:
    """Channel whose remote end is scripted by the test."""

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
        """Deliver an answer to the link."""
        self.inbox.put_nowait(Answer(attempt, Answered(200, [], b'')))


class ScriptedDialer:
    """Dialer that opens scripted channels, or hangs while partitioned."""

    def __init__(self) -> None:
        self.channels: list[ScriptedChannel] = []
        self.is_partitioned = False

    async def open(self, address: str) -> ScriptedChannel:
        if self.is_partitioned:
            await asyncio.sleep(60)
        channel = ScriptedChannel()
        self.channels.append(channel)
        return channel


def call(
    attempt: int,
    *,
    idempotent: bool = True,
    ticket: str = '',
    remaining_ms: int = 3000,
) -> Call:
    """Return a call with three seconds until its deadline by default."""
    return Call(
        attempt,
        'root',
        1,
        remaining_ms,
        0,
        'b',
        'read',
        idempotent=idempotent,
        ticket=ticket,
    )


class LinkTest(VirtualTestCase):
    """A link distinguishes a silent connection from a slow peer.

    Without this, calls to a partitioned failure domain wait until their
    deadlines, or a slow answer causes a needless retry.
    """

    async def start_calls(self, *calls: Call) -> None:
        """Create a link pool and start the calls on one link."""
        self.dialer = ScriptedDialer()
        self.pool = LinkPool(
            LoopClock(),
            self.dialer,
            RecordingCounters(),
            lambda address, message: None,
        )
        self.tasks = [
            asyncio.create_task(self.pool.call(PEER, each)) for each in calls
        ]
        await asyncio.sleep(0.01)

    def is_suspect(self) -> bool:
        """Return whether the link reports its peer as suspect."""
        return self.pool.is_suspect(PEER.address)

    async def test_slow_answer_of_responsive_peer_is_no_silence(self):
        """A peer that answers pings keeps its connection during a slow call."""
        await self.start_calls(call(1))
        await asyncio.sleep(2)
        self.assertFalse(self.is_suspect())
        self.dialer.channels[0].answer(1)
        reply = await self.tasks[0]
        self.assertEqual(reply.outcome.status, 200)
        self.assertEqual(len(self.dialer.channels), 1)

    async def test_silent_peer_is_suspected_until_it_answers(self):
        """Unanswered pings make a peer suspect; an answer clears that."""
        await self.start_calls(call(1))
        self.dialer.channels[0].is_silent = True
        await asyncio.sleep((SUSPECT_SILENCE_MS + 60) / 1000)
        self.assertTrue(self.is_suspect())
        self.dialer.channels[0].answer(1)
        await self.tasks[0]
        self.assertFalse(self.is_suspect())

    async def test_silent_connection_is_replaced(self):
        """On silence only calls that may be sent a second time are lost."""
        await self.start_calls(call(1), call(2, idempotent=False))
        old = self.dialer.channels[0]
        old.is_silent = True
        await asyncio.sleep((RECONNECT_SILENCE_MS + 150) / 1000)
        self.assertEqual(self.tasks[0].result(), Lost())
        self.assertIn(Cancel(1), old.sent)
        self.assertFalse(self.tasks[1].done())
        self.assertFalse(self.is_suspect())
        reply = asyncio.create_task(self.pool.call(PEER, call(3)))
        await asyncio.sleep(0.01)
        self.dialer.channels[1].answer(3)
        self.assertEqual((await reply).outcome.status, 200)

    async def test_late_answer_on_replaced_connection_is_used(self):
        """The old connection stays open for a call that can't be sent again."""
        await self.start_calls(call(2, idempotent=False))
        old = self.dialer.channels[0]
        old.is_silent = True
        await asyncio.sleep(1.2)
        self.assertFalse(old.is_closed)
        old.answer(2)
        self.assertEqual((await self.tasks[0]).outcome.status, 200)
        await asyncio.sleep(0.2)
        self.assertTrue(old.is_closed)

    async def test_deadline_ends_unanswered_call(self):
        """On silence, a call that can't be sent again ends at its deadline."""
        await self.start_calls(call(2, idempotent=False))
        self.dialer.channels[0].is_silent = True
        self.assertEqual(await self.tasks[0], Lost(by_deadline=True))
        await asyncio.sleep(0.2)
        self.assertTrue(self.dialer.channels[0].is_closed)

    async def test_call_with_ticket_fails_as_lost_on_silence(self):
        """A ticket allows a second send, so the call need not wait."""
        await self.start_calls(call(1, idempotent=False, ticket='t'))
        self.dialer.channels[0].is_silent = True
        await asyncio.sleep((RECONNECT_SILENCE_MS + 150) / 1000)
        self.assertEqual(self.tasks[0].result(), Lost())

    async def test_unreachable_peer_stays_suspect(self):
        """A failed reconnect keeps the peer suspect and calls unsent."""
        await self.start_calls(call(1))
        self.dialer.channels[0].is_silent = True
        self.dialer.is_partitioned = True
        await asyncio.sleep((RECONNECT_SILENCE_MS + 150) / 1000)
        self.assertTrue(self.is_suspect())
        self.assertEqual(await self.pool.call(PEER, call(2)), NotSent())

    async def test_calls_share_one_attempt_to_connect(self):
        """Each call waited for the attempts of all calls before it."""
        await self.start_calls()
        self.dialer.is_partitioned = True
        calls = [self.pool.call(PEER, call(number)) for number in range(9)]
        async with asyncio.timeout((OPEN_TIMEOUT_MS + 50) / 1000):
            replies = await asyncio.gather(*calls)
        self.assertEqual(set(replies), {NotSent()})

    async def test_connecting_ends_at_the_deadline(self):
        """A call waited for a connection past its own deadline."""
        await self.start_calls()
        self.dialer.is_partitioned = True
        async with asyncio.timeout(0.15):
            reply = await self.pool.call(PEER, call(1, remaining_ms=100))
        self.assertEqual(reply, NotSent())

    async def test_peer_that_accepts_no_connection_is_suspect(self):
        """New calls joined those that waited for a partitioned peer."""
        await self.start_calls()
        self.dialer.is_partitioned = True
        calling = asyncio.create_task(self.pool.call(PEER, call(1)))
        await asyncio.sleep(0.01)
        self.assertFalse(self.is_suspect())
        await asyncio.sleep(SUSPECT_OPENING_MS / 1000)
        self.assertTrue(self.is_suspect())
        await calling

    async def test_closed_connection_fails_pending_calls(self):
        """No call waits on a connection that the peer has closed."""
        await self.start_calls(call(1), call(2, idempotent=False))
        self.dialer.channels[0].close()
        for task in self.tasks:
            self.assertEqual(await task, Lost())


class SleepCountingClock(LoopClock):
    """Clock that counts how often a task slept on it."""

    def __init__(self) -> None:
        super().__init__()
        self.sleeps = 0

    async def sleep(self, duration_ms: float) -> None:
        self.sleeps += 1
        await super().sleep(duration_ms)


class IdleLinkTest(VirtualTestCase):
    """Links without pending calls cost nothing, however many there are."""

    async def test_idle_link_does_not_wake_up(self):
        """With 200 peers, idle links took thousands of wake-ups a second."""
        clock, dialer = SleepCountingClock(), ScriptedDialer()
        pool = LinkPool(clock, dialer, RecordingCounters(), lambda *_: None)
        pool.send('b-1:1', Ping())
        calling = asyncio.create_task(pool.call(PEER, call(1)))
        await asyncio.sleep(0.01)
        dialer.channels[0].answer(1)
        await calling
        await asyncio.sleep(0.2)
        sleeps = clock.sleeps
        await asyncio.sleep(20)
        self.assertEqual(clock.sleeps, sleeps)
        pool.close()

    async def test_silence_is_noticed_after_a_long_idle_time(self):
        """A link that was idle could miss the silence of its next call."""
        dialer = ScriptedDialer()
        pool = LinkPool(
            LoopClock(), dialer, RecordingCounters(), lambda *_: None
        )
        for attempt in (1, 2):
            calling = asyncio.create_task(pool.call(PEER, call(attempt)))
            await asyncio.sleep(0.01)
            dialer.channels[0].answer(attempt)
            await calling
            await asyncio.sleep(30)
        dialer.channels[0].is_silent = True
        calling = asyncio.create_task(pool.call(PEER, call(3)))
        await asyncio.sleep(0.01 + SUSPECT_SILENCE_MS / 1000)
        self.assertTrue(pool.is_suspect(PEER.address))
        self.assertEqual(await calling, Lost())
        self.assertEqual(len(dialer.channels), 2)
        pool.close()


class ProbeTest(VirtualTestCase):
    """A connection without pending calls may have gone silent as well.

    What silences one connection of a node, or a pause of its process, often
    silences others. Each of them cost a call and its retry half a second.
    """

    async def make_pool(self) -> tuple[LinkPool, ScriptedDialer]:
        """Return a pool with a silent connection to each of two peers."""
        dialer = ScriptedDialer()
        pool = LinkPool(
            LoopClock(), dialer, RecordingCounters(), lambda *_: None
        )
        for address in ('b-1:1', 'b-2:1'):
            await pool.link(address).send(Ping())
        for channel in dialer.channels:
            channel.is_silent = True
        return pool, dialer

    async def test_silence_of_another_connection(self):
        """The idle one is replaced before a call needs it."""
        pool, dialer = await self.make_pool()
        await pool.link('b-1:1').call(call(1, remaining_ms=1000))
        await asyncio.sleep(1)
        self.assertEqual(
            [channel.is_closed for channel in dialer.channels],
            [True, True, False, False],
        )
        pool.close()

    async def test_pause_of_the_process(self):
        """No call was watched meanwhile, or its caller has given up."""
        pool, dialer = await self.make_pool()
        pool.check()
        await asyncio.sleep(MIN_PAUSE_MS / MS_PER_SECOND + 1)
        pool.check()
        await asyncio.sleep(1)
        self.assertEqual(len(dialer.channels), 4)
        pool.close()

    async def test_sound_connection_is_kept(self):
        """A probe that is answered changes nothing."""
        pool, dialer = await self.make_pool()
        dialer.channels[1].is_silent = False
        await pool.link('b-1:1').call(call(1, remaining_ms=1000))
        await asyncio.sleep(1)
        self.assertFalse(dialer.channels[1].is_closed)
        pool.close()
