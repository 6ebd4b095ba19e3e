"""Tests of the codec, the frames, compression and TCP channels."""

import asyncio
import random
import unittest

from bergamotmount import messages
from bergamotmount.counters import Counters
from bergamotmount.member import Member, MemberState
from bergamotmount.outcomes import Answered, NotRun, Unknown
from bergamotmount.ports import ChannelError
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason
from bergamotmount.reports import (
    CrashReport,
    DemandReport,
    ObservedCall,
    PolicyEvidence,
    ThresholdReport,
)
from bergamotmount.tests.fakes import RecordingCounters
from bergamotmount.wire.codec import FrameKind, decode, encode
from bergamotmount.wire.compression import FrameCompressor, FrameDecompressor
from bergamotmount.wire.frames import (
    HEADER_BYTES,
    FrameError,
    FrameSplitter,
    pack_frame,
)
from bergamotmount.wire.peerlistener import PeerListener
from bergamotmount.wire.tcp import TcpChannel, TcpDialer

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
    True,
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
        [CrashReport(7, 'i-1@5', 30)],
        PolicyEvidence(12, 340),
    ),
    messages.Answer(3, NotRun(RefusalReason.QUEUE_FULL, 120, 't', 'why')),
    messages.Answer(4, Unknown(UnknownReason.ANSWER_LOST)),
    messages.Cancel(5),
    messages.QuotaRequest(9, 'acme', 'a-1', 2, 3, 1),
    messages.QuotaGrant(9, 'acme', 4, 250, False),
    messages.Heartbeat(
        6,
        False,
        [MEMBER],
        9,
        17,
        0.25,
        {'a': ThresholdReport(1.0)},
        40,
        [3, 0],
        '0.1.0',
        [ObservedCall('read', 'look', 40)],
        [CrashReport(2**63 - 1, '')],
    ),
    messages.Ping(reply=True),
    messages.PolicyFetch(-1),
    messages.PolicyRecords(3, [b'one', b'two']),
    messages.PolicyState(4, b'state'),
)


class CodecTest(unittest.TestCase):
    """Messages are equal after a round trip; invalid bytes are rejected."""

    def test_messages_are_equal_after_round_trip(self):
        for message in MESSAGES:
            with self.subTest(message=message):
                self.assertEqual(decode(*encode(message)), message)

    def test_reason_of_a_later_release_keeps_the_outcome(self):
        """Such an answer was dropped, so a refused request looked lost."""
        refused = messages.Answer(3, NotRun(RefusalReason.QUEUE_FULL, 120))
        unknown = messages.Answer(4, Unknown(UnknownReason.ANSWER_LATE))
        self.assertEqual(
            self.decode_renamed(refused, b'queue_full').outcome,
            NotRun(RefusalReason.UNRECOGNIZED, 120),
        )
        self.assertEqual(
            self.decode_renamed(unknown, b'answer_late').outcome,
            Unknown(UnknownReason.UNRECOGNIZED),
        )

    def decode_renamed(self, answer: messages.Answer, reason: bytes):
        """Return an answer whose reason got another name of its length."""
        kind, payload = encode(answer)
        self.assertIn(reason, payload)
        return decode(kind, payload.replace(reason, b'x' * len(reason)))

    def test_unknown_kind_is_rejected(self):
        with self.assertRaises(FrameError) as caught:
            decode(99, b'')
        self.assertEqual(caught.exception.reason, DropReason.FRAME_KIND)

    def test_random_payload_raises_only_frame_error(self):
        rng = random.Random(1)
        for kind in FrameKind:
            for length in range(64):
                with self.assertRaises(FrameError, msg=f'{kind} {length}'):
                    decode(kind, rng.randbytes(length).join((b'\x08', b'')))

    def test_truncated_messages_are_malformed(self):
        kind, payload = encode(CALL)
        for length in range(len(payload) - 1):
            with self.assertRaises(FrameError):
                decode(kind, payload[:length])


class FrameTest(unittest.TestCase):
    """Invalid and incomplete frames are rejected with a reason."""

    def test_frames_are_split_for_any_chunk_size(self):
        stream = pack_frame(3, b'payload') + pack_frame(4, b'') * 2
        for size in range(1, len(stream) + 1):
            splitter = FrameSplitter()
            frames = []
            for start in range(0, len(stream), size):
                frames.extend(splitter.feed(stream[start : start + size]))
            splitter.end()
            self.assertEqual(frames, [(3, b'payload'), (4, b''), (4, b'')])

    def test_end_without_data_is_valid(self):
        self.assertEqual(self.split(b''), [])

    def test_truncated_frame_is_rejected(self):
        frame = pack_frame(3, b'payload')
        while len(frame) > 1:
            frame = frame[:-1]
            self.assert_reason(frame, DropReason.FRAME_TRUNCATED)

    def test_changed_payload_fails_checksum(self):
        frame = pack_frame(3, b'payload')
        for position in range(len(frame) - HEADER_BYTES):
            changed = bytearray(frame)
            changed[HEADER_BYTES + position] ^= 1
            self.assert_reason(bytes(changed), DropReason.FRAME_CHECKSUM)

    def test_changed_kind_fails_checksum(self):
        changed = bytearray(pack_frame(3, b'payload'))
        changed[HEADER_BYTES - 1] ^= 1
        self.assert_reason(bytes(changed), DropReason.FRAME_CHECKSUM)

    def test_oversized_frame_is_rejected_by_its_header(self):
        frame = pack_frame(3, b'payload')
        splitter = FrameSplitter(max_payload_bytes=6)
        with self.assertRaises(FrameError) as caught:
            splitter.feed(frame[:HEADER_BYTES])
        self.assertEqual(caught.exception.reason, DropReason.FRAME_TOO_LARGE)

    def assert_reason(self, stream: bytes, reason: DropReason):
        with self.assertRaises(FrameError) as caught:
            self.split(stream)
        self.assertEqual(caught.exception.reason, reason)

    def split(self, stream: bytes):
        splitter = FrameSplitter()
        frames = splitter.feed(stream)
        splitter.end()
        return frames


class CompressionTest(unittest.TestCase):
    """Payloads are restored in order; invalid payloads are rejected."""

    def test_repeated_headers_are_compressed_and_restored(self):
        compressor, decompressor = FrameCompressor(), FrameDecompressor(10_000)
        rng = random.Random(4)
        compressed_bytes = 0
        for number in range(50):
            payload = b'Host: shop\r\nAccept: */*\r\n' * 4 + rng.randbytes(40)
            compressed = compressor.compress(payload)
            compressed_bytes += len(compressed)
            self.assertEqual(
                decompressor.decompress(compressed), payload, number
            )
        self.assertLess(compressed_bytes, 50 * 75)

    def test_malformed_and_oversized_payloads_are_rejected(self):
        with self.assertRaises(FrameError) as caught:
            FrameDecompressor(10_000).decompress(b'\xff\xff\xff')
        self.assertEqual(caught.exception.reason, DropReason.FRAME_MALFORMED)
        compressed = FrameCompressor().compress(bytes(1000))
        with self.assertRaises(FrameError) as caught:
            FrameDecompressor(999).decompress(compressed)
        self.assertEqual(caught.exception.reason, DropReason.FRAME_TOO_LARGE)


class TcpTest(unittest.IsolatedAsyncioTestCase):
    """Invalid bytes close their own connection and no other."""

    async def asyncSetUp(self):
        self.counters = RecordingCounters()
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

    async def test_invalid_frame_closes_only_its_connection(self):
        """An HTTP request on the peer port must not affect other peers."""
        valid_channel = await TcpDialer(Counters()).open(self.address)
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\nHost: example\r\n\r\n')
        self.assertEqual(await self.read_to_end(reader), b'')
        writer.close()
        self.assertEqual(self.counters.counts[DropReason.FRAME_TOO_LARGE], 1)
        valid_channel.send(messages.Ping())
        self.assertEqual(await valid_channel.receive(), messages.Ping())
        valid_channel.close()

    async def test_message_of_a_later_release_is_dropped(self):
        """One message of a new kind ended all calls on the connection."""
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        kind, payload = encode(messages.Ping())
        later_kind = max(FrameKind) + 1
        writer.write(pack_frame(later_kind, b'new'))
        writer.write(pack_frame(kind, payload))
        answer = await reader.readexactly(len(pack_frame(kind, payload)))
        self.assertEqual(answer, pack_frame(kind, payload))
        self.assertEqual(self.counters.counts[DropReason.FRAME_KIND], 1)
        writer.close()

    async def test_peer_compresses_after_compressed_message(self):
        dialer = TcpDialer(Counters(), lambda address: address == self.address)
        channel = await dialer.open(self.address)
        for _ in range(3):
            channel.send(CALL)
            self.assertEqual(await channel.receive(), CALL)
        self.assertIsNotNone(channel._decompressor)
        channel.close()

    async def test_queued_message_is_received_after_the_end(self):
        """A message queued before the close must still be received."""
        channel = await TcpDialer(Counters()).open(self.address)
        channel.send(messages.Ping())
        await asyncio.sleep(0.05)
        await self.listener.close()
        self.assertEqual(await channel.receive(), messages.Ping())
        with self.assertRaises(ChannelError):
            await channel.receive()

    async def test_refused_connection_raises_channel_error(self):
        await self.listener.close()
        with self.assertRaises(ChannelError):
            await TcpDialer(Counters()).open(self.address)

    async def read_to_end(self, reader) -> bytes:
        try:
            return await reader.read()
        except ConnectionResetError:
            return b''
