"""Tests of the codec and the frames."""

import asyncio
import random
import unittest

from bergamotmount import messages
from bergamotmount.counters import Counters
from bergamotmount.member import Member, MemberState
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import ChannelError
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason
from bergamotmount.tests.fakes import CountingCounters
from bergamotmount.reports import DemandReport, ThresholdReport
from bergamotmount.wire.codec import Kind, decode, encode
from bergamotmount.wire.compression import FrameCompressor, FrameExpander
from bergamotmount.wire.frames import (
    HEADER_BYTES,
    FrameError,
    FrameSplitter,
    pack_frame,
)
from bergamotmount.wire.tcp import PeerListener, TcpChannel, TcpDialer

MEMBER = Member(
    'a-1',
    '127.0.0.1:1',
    'r',
    'fd',
    7,
    3,
    MemberState.DRAINING,
    'a',
    5,
    '127.0.0.1:2',
)
CALL = messages.Call(
    1,
    'root',
    1.5,
    900,
    2,
    'a',
    'read',
    'PUT',
    ['x', 'y'],
    b'\x00\xff',
    'ticket',
    False,
    4,
    '/a?b',
    2,
    2.25,
)
MESSAGES = (
    CALL,
    messages.Answer(
        2,
        Answered(201, ['a', 'b'], b'body'),
        1,
        2.5,
        {'b': ThresholdReport(0.5, 30)},
        700,
        40,
        DemandReport(12.5, (1, 0, 2, 0)),
        ['b', 'c'],
    ),
    messages.Answer(3, NotRun(RefusalReason.QUEUE_FULL, 120, 't', 'why')),
    messages.Answer(4, Unknown(UnknownReason.ANSWER_LOST)),
    messages.Cancel(5),
    messages.Heartbeat(
        6,
        False,
        [MEMBER],
        9,
        17,
        0.25,
        {'a': ThresholdReport(1.0)},
        40,
        True,
        '0.1.0',
    ),
    messages.Ping(reply=True),
    messages.PolicyFetch(-1),
    messages.PolicyRecords(3, [b'one', b'two']),
    messages.PolicyState(4, b'state'),
)


class CodecTest(unittest.TestCase):
    """Every message survives the way to bytes and back."""

    def test_round_trip(self):
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(decode(*encode(message)), message)

    def test_unknown_kind_is_refused(self):
        with self.assertRaises(FrameError) as caught:
            decode(99, b'')
        self.assertEqual(caught.exception.reason, DropReason.FRAME_KIND)

    def test_garbage_is_malformed_and_nothing_else(self):
        rng = random.Random(1)
        for kind in Kind:
            for length in range(64):
                with self.assertRaises(FrameError, msg=f'{kind} {length}'):
                    decode(kind, rng.randbytes(length).join((b'\x08', b'')))

    def test_truncated_messages_are_malformed(self):
        kind, payload = encode(CALL)
        for length in range(len(payload) - 1):
            with self.assertRaises(FrameError):
                decode(kind, payload[:length])


class FrameTest(unittest.TestCase):
    """Whatever is no whole valid frame is refused with its reason."""

    def test_frames_are_cut_wherever_the_bytes_break(self):
        stream = pack_frame(3, b'payload') + pack_frame(4, b'') * 2
        for size in range(1, len(stream) + 1):
            splitter = FrameSplitter()
            frames = []
            for start in range(0, len(stream), size):
                frames.extend(splitter.feed(stream[start : start + size]))
            splitter.end()
            self.assertEqual(frames, [(3, b'payload'), (4, b''), (4, b'')])

    def test_end_between_frames(self):
        self.assertEqual(self.read(b''), [])

    def test_truncated_frames(self):
        frame = pack_frame(3, b'payload')
        while len(frame) > 1:
            frame = frame[:-1]
            self.assert_reason(frame, DropReason.FRAME_TRUNCATED)

    def test_changed_bits(self):
        frame = pack_frame(3, b'payload')
        for position in range(len(frame) - HEADER_BYTES):
            changed = bytearray(frame)
            changed[HEADER_BYTES + position] ^= 1
            self.assert_reason(bytes(changed), DropReason.FRAME_CHECKSUM)

    def test_changed_kind(self):
        changed = bytearray(pack_frame(3, b'payload'))
        changed[HEADER_BYTES - 1] ^= 1
        self.assert_reason(bytes(changed), DropReason.FRAME_CHECKSUM)

    def test_oversized_frames_are_refused_unread(self):
        frame = pack_frame(3, b'payload')
        splitter = FrameSplitter(max_payload_bytes=6)
        with self.assertRaises(FrameError) as caught:
            splitter.feed(frame[:HEADER_BYTES])
        self.assertEqual(caught.exception.reason, DropReason.FRAME_TOO_LARGE)

    def assert_reason(self, stream: bytes, reason: DropReason):
        with self.assertRaises(FrameError) as caught:
            self.read(stream)
        self.assertEqual(caught.exception.reason, reason)

    def read(self, stream: bytes):
        splitter = FrameSplitter()
        frames = splitter.feed(stream)
        splitter.end()
        return frames


class CompressionTest(unittest.TestCase):
    """Repeated headers take few bytes, and bad bytes are refused."""

    def test_frames_are_restored_in_order(self):
        compressor, expander = FrameCompressor(), FrameExpander(10_000)
        rng = random.Random(4)
        packed_bytes = 0
        for number in range(50):
            payload = b'Host: shop\r\nAccept: */*\r\n' * 4 + rng.randbytes(40)
            packed = compressor.compress(payload)
            packed_bytes += len(packed)
            self.assertEqual(expander.expand(packed), payload, number)
        self.assertLess(packed_bytes, 50 * 75)

    def test_malformed_and_oversized_payloads(self):
        with self.assertRaises(FrameError) as caught:
            FrameExpander(10_000).expand(b'\xff\xff\xff')
        self.assertEqual(caught.exception.reason, DropReason.FRAME_MALFORMED)
        packed = FrameCompressor().compress(bytes(1000))
        with self.assertRaises(FrameError) as caught:
            FrameExpander(999).expand(packed)
        self.assertEqual(caught.exception.reason, DropReason.FRAME_TOO_LARGE)


class TcpTest(unittest.IsolatedAsyncioTestCase):
    """Bad bytes close their own connection and harm no other."""

    async def asyncSetUp(self):
        self.counters = CountingCounters()
        self.listener = PeerListener(self.echo, self.counters)
        self.address = await self.listener.start('127.0.0.1:0')

    async def asyncTearDown(self):
        await self.listener.close()

    async def echo(self, channel: TcpChannel):
        try:
            while True:
                channel.send(await channel.receive())
        except ChannelError:
            return
        finally:
            channel.close()

    async def test_foreign_bytes_close_only_their_connection(self):
        good = await TcpDialer(Counters()).open(self.address)
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\nHost: example\r\n\r\n')
        self.assertEqual(await self.read_to_end(reader), b'')
        writer.close()
        self.assertEqual(self.counters.counts[DropReason.FRAME_TOO_LARGE], 1)
        good.send(messages.Ping())
        self.assertEqual(await good.receive(), messages.Ping())
        good.close()

    async def test_a_compressing_dialer_gets_compressed_answers(self):
        dialer = TcpDialer(Counters(), lambda address: address == self.address)
        channel = await dialer.open(self.address)
        for _ in range(3):
            channel.send(CALL)
            self.assertEqual(await channel.receive(), CALL)
        self.assertIsNotNone(channel._expander)
        channel.close()

    async def test_what_came_before_the_end_is_received(self):
        channel = await TcpDialer(Counters()).open(self.address)
        channel.send(messages.Ping())
        await asyncio.sleep(0.05)
        await self.listener.close()
        self.assertEqual(await channel.receive(), messages.Ping())
        with self.assertRaises(ChannelError):
            await channel.receive()

    async def test_a_dead_address_is_a_channel_error(self):
        await self.listener.close()
        with self.assertRaises(ChannelError):
            await TcpDialer(Counters()).open(self.address)

    async def read_to_end(self, reader) -> bytes:
        try:
            return await reader.read()
        except ConnectionResetError:
            return b''
