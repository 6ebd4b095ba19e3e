"""Odd messages of peers: each is dropped alone, and so is each odd part."""

import asyncio
import dataclasses
import math
import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamotmount import messages
from bergamotmount.clock import LoopClock
from bergamotmount.fieldchecks import MAX_VERSION
from bergamotmount.link import Link
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import ChannelError, NotSent, UnsendableError
from bergamotmount.reasons import DropReason, RefusalReason
from bergamotmount.reports import (
    CrashReport,
    DemandReport,
    ObservedCall,
    PolicyEvidence,
    ThresholdReport,
)
from bergamotmount.serving import PeerServer
from bergamotmount.tabledigest import MAX_BUCKETS
from bergamotmount.tablesync import TableSync
from bergamotmount.tests.fakes import RecordingCounters
from bergamotmount.tests.forwardingfixture import make_forwarding_fixture
from bergamotmount.tests.test_codec import CALL, MEMBER, MESSAGES
from bergamotmount.tests.test_link import ScriptedChannel, ScriptedDialer, call
from bergamotmount.tests.virtualtime import VirtualTestCase
from bergamotmount.wire.codec import FrameKind, decode, encode
from bergamotmount.wire.frames import FrameError, pack_frame
from bergamotmount.wire.peerlistener import PeerListener
from bergamotmount.wire.tcp import TcpChannel, TcpDialer

ANSWER = messages.Answer(2, Answered(201, ['a', 'b'], b'body'))
HEARTBEAT = messages.Heartbeat(6, False, [MEMBER], 9, 17)
SOUND_CRASH = CrashReport(7, 'i-1')


def sent(message: messages.Message, **changes: object) -> messages.Message:
    """Return what a peer receives of a message with these changes."""
    return decode(*encode(dataclasses.replace(message, **changes)))


class MessageFieldsTest(unittest.TestCase):
    """A message that can't be used as a whole is malformed."""

    def test_odd_calls(self):
        """Ranks are compared, and the rest is written into a request."""
        for changes in (
            {'rank': math.nan},
            {'rank': math.inf},
            {'rank': -1.0},
            {'method': 'GET /'},
            {'method': 'GET\r\nX: 1'},
            {'target': '/a HTTP/1.1\r\nX: 1'},
            {'headers': ['x']},
            {'headers': ['x', 'y\r\nX-Other: 1']},
            {'headers': ['x\n', 'y']},
        ):
            with self.subTest(changes), self.assertRaises(FrameError):
                sent(CALL, **changes)

    def test_odd_answers(self):
        for outcome in (
            Answered(0, [], b''),
            Answered(199, [], b''),
            Answered(-200, [], b''),
            Answered(600, [], b''),
            Answered(200, ['a'], b''),
            Answered(200, ['a', 'b\r\n\r\nHTTP/1.1 200 OK'], b''),
        ):
            with self.subTest(outcome), self.assertRaises(FrameError):
                sent(ANSWER, outcome=outcome)

    def test_reports_do_not_lose_an_answer(self):
        """A ready answer is delivered, whatever else is in its message."""
        odd = sent(
            ANSWER,
            tokens=-3,
            threshold=math.nan,
            thresholds={'': ThresholdReport(1), 'b': ThresholdReport(math.nan)},
            load_permille=-1,
            service_ms=-1,
            demand=DemandReport(math.nan, (1, 2, 3, 4)),
            crashes=[CrashReport(-1, 'i-1'), SOUND_CRASH],
            evidence=PolicyEvidence(3, -5000),
        )
        plain = sent(ANSWER, crashes=[SOUND_CRASH])
        self.assertEqual(odd, plain)

    def test_negative_times_and_counts_are_none(self):
        """A negative number of held tokens would let others hold more."""
        refusal = NotRun(RefusalReason.QUEUE_FULL, -5)
        self.assertEqual(
            sent(ANSWER, outcome=refusal).outcome.retry_after_ms, 0
        )
        request = messages.QuotaRequest(1, 'acme', 'n', -1, -2, -3)
        self.assertEqual(
            sent(request), messages.QuotaRequest(1, 'acme', 'n', 0, 0, 0)
        )
        grant = messages.QuotaGrant(1, 'acme', -7, -8)
        self.assertEqual(sent(grant), messages.QuotaGrant(1, 'acme', 0))

    def test_odd_parts_of_a_heartbeat(self):
        """One odd member lost the sound ones, and the calls of the link."""
        sound = dataclasses.replace(MEMBER, node='b-1')
        odd_members = [
            dataclasses.replace(sound, **changes)
            for changes in (
                {'node': ''},
                {'node': 'n\r\n'},
                {'address': '10.0.0.1:99999'},
                {'address': 'nowhere'},
                {'region': ''},
                {'failure_domain': 'f' * 256},
                {'service': ' a'},
                {'incarnation': -1},
                {'incarnation': 2**63 - 1},
                {'version': 2**63 - 1},
                {'version': -1},
                {'state': 99},
            )
        ]
        heartbeat = sent(
            HEARTBEAT,
            members=[MEMBER, *odd_members, sound],
            threshold=math.nan,
            thresholds={'a': ThresholdReport(1), 'b': ThresholdReport(-1)},
            calls=[ObservedCall('', 'x'), ObservedCall('x', 'y', -1)],
            crashes=[CrashReport(7, 'i-1', -5), SOUND_CRASH],
        )
        self.assertEqual(heartbeat.members, [MEMBER, sound])
        self.assertEqual(heartbeat.thresholds, {'a': ThresholdReport(1)})
        self.assertEqual(heartbeat.calls, [])
        self.assertEqual(heartbeat.crashes, [SOUND_CRASH])
        self.assertEqual(heartbeat.omitted, len(odd_members) + 4)

    def test_member_without_a_port_for_operators(self):
        """Such a setting is allowed, and says nothing about the member."""
        member = dataclasses.replace(MEMBER, admin='10.0.0.1:0')
        received = sent(HEARTBEAT, members=[member]).members
        self.assertEqual(received, [dataclasses.replace(MEMBER, admin='')])

    def test_heartbeat_of_an_odd_sender(self):
        """All that a heartbeat says is said by its first member."""
        odd = dataclasses.replace(MEMBER, node='')
        with self.assertRaises(FrameError):
            sent(HEARTBEAT, members=[odd, MEMBER])

    def test_deep_nesting_in_an_unread_field(self):
        """The decoder skips what a later release has added."""
        for nested in (
            b'\x0c\x00\x63' * 1_000_000,
            b'\x0f\x00\x63' + (b'\x0f' + struct.pack('!i', 1)) * 700_000,
            b'\x0d\x00\x63' + (b'\x0d\x0d' + struct.pack('!i', 1)) * 500_000,
        ):
            for kind in FrameKind:
                with self.assertRaises(FrameError):
                    decode(kind, nested)

    @given(st.data())
    def test_changed_bytes(self, draws):
        """Any bytes give a message that can be passed on, or an error."""
        kind, payload = encode(draws.draw(st.sampled_from(MESSAGES)))
        changed = bytearray(payload)
        for _ in range(draws.draw(st.integers(1, 4))):
            position = draws.draw(st.integers(0, len(changed) - 1))
            changed[position] = draws.draw(st.integers(0, 255))
        try:
            message = decode(kind, bytes(changed))
        except FrameError:
            return
        if isinstance(message, messages.Heartbeat):
            # What couldn't be used is counted, and not passed on.
            message.omitted = 0
        self.assertEqual(decode(*encode(message)), message)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Calls in flight outlive an odd message on their connection."""

    async def asyncSetUp(self):
        self.counters = RecordingCounters()
        self.received: list[messages.Message] = []
        self.listener = PeerListener(self.serve, self.counters)
        address = await self.listener.start('127.0.0.1:0')
        self.channel = await TcpDialer(self.counters).open(address)

    async def asyncTearDown(self):
        self.channel.close()
        await self.listener.close()

    async def serve(self, channel: TcpChannel) -> None:
        try:
            while True:
                self.received.append(await channel.receive())
        except ChannelError:
            return

    async def test_odd_message_is_dropped_alone(self):
        transport = self.channel._transport
        transport.write(pack_frame(FrameKind.HEARTBEAT, b'\x00'))
        transport.write(pack_frame(FrameKind.CALL, b'\x0c' * 9))
        self.channel.send(messages.Ping())
        await asyncio.sleep(0.1)
        self.assertEqual(self.received, [messages.Ping()])
        self.assertEqual(self.counters.counts[DropReason.FRAME_MALFORMED], 2)

    async def test_odd_parts_are_counted(self):
        odd = dataclasses.replace(MEMBER, node='')
        self.channel.send(dataclasses.replace(HEARTBEAT, members=[MEMBER, odd]))
        await asyncio.sleep(0.1)
        self.assertEqual(self.received[0].members, [MEMBER])
        self.assertEqual(self.counters.counts[DropReason.MESSAGE_PART], 1)

    async def test_message_that_cannot_be_encoded(self):
        """It raised out of tasks of the node, and ended connections."""
        for message in (
            messages.PolicyFetch(2**63),
            dataclasses.replace(CALL, root='\ud800'),
            dataclasses.replace(CALL, tokens=2**15),
            dataclasses.replace(CALL, attempt=None, rank='x'),
        ):
            with self.assertRaises(UnsendableError):
                self.channel.send(message)
        self.channel.send(messages.Ping())
        await asyncio.sleep(0.1)
        self.assertEqual(self.received, [messages.Ping()])
        self.assertEqual(self.counters.counts[DropReason.UNSENDABLE], 4)

    async def test_port_out_of_range(self):
        """The error of the system was not the one that a link expects."""
        for address in ('127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x'):
            with self.assertRaises(ChannelError):
                await TcpDialer(self.counters).open(address)


class UnsendableTest(VirtualTestCase):
    """What can't be encoded costs neither its link nor other calls."""

    async def test_call_and_message(self):
        dialer = ScriptedDialer()
        link = Link(
            LoopClock(),
            dialer,
            '10.0.0.1:1',
            RecordingCounters(),
            lambda _address, _message: None,
        )
        pending = asyncio.create_task(link.call(call(1)))
        await asyncio.sleep(0.01)
        channel = dialer.channels[0]
        channel.send = self.raise_unsendable
        self.assertIsInstance(await link.call(call(2)), NotSent)
        self.assertFalse(await link.send(messages.Ping()))
        self.assertTrue(link.is_open)
        channel.answer(1)
        self.assertIsInstance(await pending, messages.Answer)
        link.close()

    async def test_answer(self):
        """The caller is told that its request may have run."""
        channel = ScriptedChannel()
        send = channel.send

        def send_unless_answered(message: messages.Message) -> None:
            if isinstance(message.outcome, Answered):
                self.raise_unsendable(message)
            send(message)

        channel.send = send_unless_answered

        async def answer(received: messages.Call) -> messages.Answer:
            return messages.Answer(received.attempt, ANSWER.outcome)

        server = PeerServer(answer, lambda _: [], RecordingCounters())
        serving = asyncio.create_task(server.serve(channel))
        channel.inbox.put_nowait(call(1))
        await asyncio.sleep(0.1)
        self.assertIsInstance(channel.sent[0].outcome, Unknown)
        self.assertEqual(server.active_calls, 0)
        serving.cancel()

    def raise_unsendable(self, _message: messages.Message) -> None:
        raise UnsendableError


class BoundsTest(VirtualTestCase):
    """Numbers at their bounds don't leave a node without a way out."""

    async def test_refuting_the_largest_version(self):
        """The node's own heartbeats couldn't be encoded any more."""
        local = Member('n', '10.0.0.1:1', 'r', 'fd', 5)
        members = Members(LoopClock(), local)
        claim = dataclasses.replace(
            local, version=MAX_VERSION, state=MemberState.LEFT
        )
        refuted = members.merge(claim)
        self.assertGreater(refuted.freshness, claim.freshness)
        self.assertEqual(refuted.state, MemberState.SERVING)
        sent(HEARTBEAT, members=[refuted])

    async def test_endless_digests(self):
        """A peer could ask for a hundred thousand digests in each reply."""
        members = Members(LoopClock(), MEMBER)
        sync = TableSync(LoopClock(), members)
        digests = list(range(100_000))
        self.assertEqual(sync.differing_members(digests), [])
        self.assertEqual(len(sync.digests(digests)), MAX_BUCKETS)

    async def test_evidence_of_the_future(self):
        """Withdrawn keys would be accepted until that time had come."""
        fixture = await make_forwarding_fixture()
        source = fixture.host_by_name['a1'].node.policy_source
        verified_ms = source._freshness.verified_ms
        for asked_ms in (10.0**15, math.inf, math.nan):
            source.learn_evidence(PolicyEvidence(source.version, 0), asked_ms)
            self.assertEqual(source._freshness.verified_ms, verified_ms)
        fixture.close()

    async def test_rejected_record_is_not_fetched_again(self):
        """Each heartbeat of a peer that holds one asked for it once more."""
        fixture = await make_forwarding_fixture()
        source = fixture.host_by_name['a1'].node.policy_source
        version = source.version + 5
        self.assertEqual(len(source.fetch_if_behind(version)), 1)
        source.install_state(messages.PolicyState(version, b'unreadable'))
        self.assertEqual(source.fetch_if_behind(version), [])
        self.assertEqual(len(source.fetch_if_behind(version + 1)), 1)
        fixture.close()
