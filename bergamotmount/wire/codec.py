"""Conversion between messages and thrift's binary protocol."""

import dataclasses
import enum
from collections.abc import Callable

from thrift.protocol import fastbinary
from thrift.transport.TTransport import TMemoryBuffer

from bergamotmount import messages
from bergamotmount.reasons import DropReason
from bergamotmount.wire import callcodec, heartbeatcodec, reportcodec
from bergamotmount.wire.frames import FrameError
from bergamotmount.wire.gen import ttypes


#: Maximum number of elements in a list that is decoded.
MAX_LIST_ELEMENTS = 100_000


class FrameKind(enum.IntEnum):
    """Kind of a frame: the thrift struct in its payload."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    HEARTBEAT = 4
    PING = 5
    POLICY_FETCH = 6
    POLICY_RECORDS = 7
    POLICY_STATE = 8
    QUOTA_REQUEST = 9
    QUOTA_GRANT = 10


@dataclasses.dataclass(slots=True)
class _DecoderInput:
    """Input of thrift's C decoder: its transport and its limits."""

    trans: TMemoryBuffer
    string_length_limit: int
    container_length_limit: int = MAX_LIST_ELEMENTS


def encode(message: messages.Message) -> tuple[FrameKind, bytes]:
    """Return the frame kind and the payload of a message."""
    kind, struct_type, to_wire = _ENCODERS[type(message)]
    spec = [struct_type, struct_type.thrift_spec]
    return kind, fastbinary.encode_binary(to_wire(message), spec)


def decode(kind: int, payload: bytes) -> messages.Message:
    """Return the message in a payload.

    Raise :class:`FrameError` when the kind is unknown or the payload isn't a
    valid struct of that kind.
    """
    struct_type, from_wire = _DECODERS.get(kind, (None, None))
    if struct_type is None:
        raise FrameError(DropReason.FRAME_KIND)
    wire = struct_type()
    spec = [struct_type, struct_type.thrift_spec]
    decoder_input = _DecoderInput(TMemoryBuffer(payload), len(payload))
    try:
        fastbinary.decode_binary(wire, decoder_input, spec)
        return from_wire(wire)
    except Exception as error:
        raise FrameError(DropReason.FRAME_MALFORMED) from error


def _quota_request_from_wire(wire: ttypes.QuotaRequest) -> messages.Message:
    return messages.QuotaRequest(
        reportcodec.require_field(wire.sequence),
        reportcodec.require_field(wire.organisation),
        reportcodec.require_field(wire.node),
        reportcodec.amount_or_zero(wire.waiting),
        reportcodec.amount_or_zero(wire.wanted),
        reportcodec.amount_or_zero(wire.held),
    )


def _quota_grant_from_wire(wire: ttypes.QuotaGrant) -> messages.Message:
    return messages.QuotaGrant(
        reportcodec.require_field(wire.sequence),
        reportcodec.require_field(wire.organisation),
        reportcodec.amount_or_zero(wire.tokens),
        reportcodec.amount_or_zero(wire.retry_after_ms),
        bool(wire.is_owner),
    )


_Encoder = tuple[FrameKind, type, Callable]
_Decoder = tuple[type, Callable]

_ENCODERS: dict[type, _Encoder] = {
    messages.Call: (FrameKind.CALL, ttypes.Call, callcodec.call_to_wire),
    messages.Answer: (
        FrameKind.ANSWER,
        ttypes.Answer,
        callcodec.answer_to_wire,
    ),
    messages.Cancel: (
        FrameKind.CANCEL,
        ttypes.Cancel,
        lambda cancel: ttypes.Cancel(cancel.attempt),
    ),
    messages.Heartbeat: (
        FrameKind.HEARTBEAT,
        ttypes.Heartbeat,
        heartbeatcodec.heartbeat_to_wire,
    ),
    messages.Ping: (
        FrameKind.PING,
        ttypes.Ping,
        lambda ping: ttypes.Ping(ping.reply),
    ),
    messages.PolicyFetch: (
        FrameKind.POLICY_FETCH,
        ttypes.PolicyFetch,
        lambda fetch: ttypes.PolicyFetch(fetch.known_offset),
    ),
    messages.PolicyRecords: (
        FrameKind.POLICY_RECORDS,
        ttypes.PolicyRecords,
        lambda batch: ttypes.PolicyRecords(batch.first_offset, batch.records),
    ),
    messages.PolicyState: (
        FrameKind.POLICY_STATE,
        ttypes.PolicyState,
        lambda state: ttypes.PolicyState(state.offset, state.state),
    ),
    messages.QuotaRequest: (
        FrameKind.QUOTA_REQUEST,
        ttypes.QuotaRequest,
        lambda request: ttypes.QuotaRequest(
            request.sequence,
            request.organisation,
            request.node,
            request.waiting,
            request.wanted,
            request.held,
        ),
    ),
    messages.QuotaGrant: (
        FrameKind.QUOTA_GRANT,
        ttypes.QuotaGrant,
        lambda grant: ttypes.QuotaGrant(
            grant.sequence,
            grant.organisation,
            grant.tokens,
            grant.retry_after_ms,
            grant.is_owner,
        ),
    ),
}

_DECODERS: dict[int, _Decoder] = {
    FrameKind.CALL: (ttypes.Call, callcodec.call_from_wire),
    FrameKind.ANSWER: (ttypes.Answer, callcodec.answer_from_wire),
    FrameKind.CANCEL: (
        ttypes.Cancel,
        lambda wire: messages.Cancel(reportcodec.require_field(wire.attempt)),
    ),
    FrameKind.HEARTBEAT: (ttypes.Heartbeat, heartbeatcodec.heartbeat_from_wire),
    FrameKind.PING: (ttypes.Ping, lambda wire: messages.Ping(bool(wire.reply))),
    FrameKind.POLICY_FETCH: (
        ttypes.PolicyFetch,
        lambda wire: messages.PolicyFetch(
            reportcodec.require_field(wire.known_offset)
        ),
    ),
    FrameKind.POLICY_RECORDS: (
        ttypes.PolicyRecords,
        lambda wire: messages.PolicyRecords(
            reportcodec.require_field(wire.first_offset),
            reportcodec.require_field(wire.records),
        ),
    ),
    FrameKind.POLICY_STATE: (
        ttypes.PolicyState,
        lambda wire: messages.PolicyState(
            reportcodec.require_field(wire.offset),
            reportcodec.require_field(wire.state),
        ),
    ),
    FrameKind.QUOTA_REQUEST: (ttypes.QuotaRequest, _quota_request_from_wire),
    FrameKind.QUOTA_GRANT: (ttypes.QuotaGrant, _quota_grant_from_wire),
}
