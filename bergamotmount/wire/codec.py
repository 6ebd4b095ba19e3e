"""Conversion between messages and thrift's binary protocol."""

import dataclasses
import enum
import re
from collections.abc import Callable, Sequence
from typing import TypeVar

from thrift.protocol import fastbinary
from thrift.transport.TTransport import TMemoryBuffer

from bergamotmount import messages
from bergamotmount.fieldchecks import MAX_VERSION, is_address, is_name
from bergamotmount.member import Member, MemberState
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason
from bergamotmount.wire import reportcodec
from bergamotmount.wire.frames import FrameError
from bergamotmount.wire.gen import ttypes

_ReasonType = TypeVar('_ReasonType', RefusalReason, UnknownReason)

#: Maximum number of elements in a list that is decoded.
MAX_LIST_ELEMENTS = 100_000

_MIN_STATUS = 200
_MAX_STATUS = 599

#: What would end a header, and a method or target, in a request or response.
_header_break = re.compile(r'[\r\n\0]')
_word_break = re.compile(r'[\x00-\x20\x7f]')


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


class _WireOutcome(enum.IntEnum):
    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


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


def _call_to_wire(call: messages.Call) -> ttypes.Call:
    return ttypes.Call(
        call.attempt,
        call.root,
        call.rank,
        call.remaining_ms,
        call.tokens,
        call.service,
        call.operation,
        call.method,
        call.headers,
        call.body,
        call.ticket,
        call.idempotent,
        call.depth,
        call.target,
        call.tries,
        call.entry_threshold,
        call.is_repeat,
    )


def _call_from_wire(wire: ttypes.Call) -> messages.Call:
    return messages.Call(
        reportcodec.require_field(wire.attempt),
        reportcodec.require_field(wire.root),
        reportcodec.require_amount(wire.rank),
        reportcodec.require_field(wire.remaining_ms),
        reportcodec.amount_or_zero(wire.tokens),
        reportcodec.require_field(wire.service_name),
        reportcodec.require_field(wire.operation),
        _require_word(wire.method),
        _require_headers(wire.headers),
        reportcodec.require_field(wire.body),
        wire.ticket or '',
        reportcodec.require_field(wire.idempotent),
        reportcodec.amount_or_zero(wire.depth),
        _require_word(wire.target or ''),
        reportcodec.amount_or_zero(wire.tries),
        reportcodec.threshold_or_admit_all(wire.entry_threshold),
        bool(wire.is_repeat),
    )


def _answer_to_wire(answer: messages.Answer) -> ttypes.Answer:
    wire = ttypes.Answer(
        attempt=answer.attempt,
        tokens=answer.tokens,
        load_permille=answer.load_permille,
        service_ms=answer.service_ms,
        threshold=answer.threshold,
        thresholds=reportcodec.thresholds_to_wire(answer.thresholds),
        allowed=answer.demand.allowed,
        demand=answer.demand.demand,
        needs=answer.needs,
        crashes=reportcodec.crashes_to_wire(answer.crashes),
    )
    reportcodec.add_evidence(wire, answer.evidence)
    match answer.outcome:
        case Answered(status, headers, body):
            wire.outcome = _WireOutcome.ANSWERED
            wire.status = status
            wire.headers = headers
            wire.body = body
        case NotRun(reason, retry_after_ms, ticket, detail, may_return):
            wire.outcome = _WireOutcome.NOT_RUN
            wire.reason = reason
            wire.retry_after_ms = retry_after_ms
            wire.ticket = ticket
            wire.detail = detail
            wire.may_return = may_return
        case Unknown(reason):
            wire.outcome = _WireOutcome.UNKNOWN
            wire.reason = reason
    return wire


def _answer_from_wire(wire: ttypes.Answer) -> messages.Answer:
    return messages.Answer(
        attempt=reportcodec.require_field(wire.attempt),
        outcome=_outcome_from_wire(wire),
        tokens=reportcodec.amount_or_zero(wire.tokens),
        threshold=reportcodec.threshold_or_admit_all(wire.threshold),
        thresholds=reportcodec.thresholds_from_wire(wire.thresholds),
        load_permille=reportcodec.amount_or_zero(wire.load_permille),
        service_ms=reportcodec.amount_or_zero(wire.service_ms),
        demand=reportcodec.demand_from_wire(wire),
        needs=wire.needs or [],
        crashes=reportcodec.crashes_from_wire(wire.crashes),
        evidence=reportcodec.evidence_from_wire(wire),
    )


def _outcome_from_wire(wire: ttypes.Answer) -> Outcome:
    match wire.outcome:
        case _WireOutcome.ANSWERED:
            if not _MIN_STATUS <= wire.status <= _MAX_STATUS:
                raise FrameError(DropReason.FRAME_MALFORMED)
            return Answered(
                wire.status,
                _require_headers(wire.headers),
                reportcodec.require_field(wire.body),
            )
        case _WireOutcome.NOT_RUN:
            return NotRun(
                _reason_from_wire(RefusalReason, wire.reason),
                reportcodec.amount_or_zero(wire.retry_after_ms),
                wire.ticket or '',
                wire.detail or '',
                bool(wire.may_return),
            )
        case _WireOutcome.UNKNOWN:
            return Unknown(_reason_from_wire(UnknownReason, wire.reason))
        case _:
            raise FrameError(DropReason.FRAME_MALFORMED)


def _require_word(text: str | None) -> str:
    """Return a method or a target, which must not hold white space."""
    word = reportcodec.require_field(text)
    if _word_break.search(word):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return word


def _require_headers(headers: list[str] | None) -> list[str]:
    """Return names and values of headers, which must stay one line each."""
    is_paired = len(reportcodec.require_field(headers)) % 2 == 0
    if not is_paired or _header_break.search(' '.join(headers)):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return headers


def _reason_from_wire(
    reason_type: type[_ReasonType], name: str | None
) -> _ReasonType:
    """Return a reason; nodes of a later release may send an unknown one."""
    try:
        return reason_type(reportcodec.require_field(name))
    except ValueError:
        return reason_type.UNRECOGNIZED


def _member_to_wire(member: Member) -> ttypes.Member:
    return ttypes.Member(
        member.node,
        member.address,
        member.region,
        member.failure_domain,
        member.incarnation,
        member.version,
        member.state,
        member.service,
        member.slots,
        member.admin,
    )


def _member_from_wire(wire: ttypes.Member) -> Member:
    member = Member(
        reportcodec.require_field(wire.node),
        reportcodec.require_field(wire.address),
        reportcodec.require_field(wire.region),
        reportcodec.require_field(wire.failure_domain),
        reportcodec.require_field(wire.incarnation),
        reportcodec.require_field(wire.version),
        MemberState(wire.state),
        wire.service_name or '',
        reportcodec.amount_or_zero(wire.slots),
        wire.admin or '',
    )
    if not _is_usable(member):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return member


def _is_usable(member: Member) -> bool:
    """Return whether a member can be dialled and passed on."""
    names = [member.node, member.region, member.failure_domain]
    addresses = [member.address]
    if member.service:
        names.append(member.service)
    if member.admin:
        addresses.append(member.admin)
    versions = (member.incarnation, member.version)
    return (
        all(map(is_name, names))
        and all(map(is_address, addresses))
        and all(0 <= number <= MAX_VERSION for number in versions)
    )


def _heartbeat_to_wire(heartbeat: messages.Heartbeat) -> ttypes.Heartbeat:
    wire = ttypes.Heartbeat(
        heartbeat.sequence,
        heartbeat.reply,
        [_member_to_wire(member) for member in heartbeat.members],
        heartbeat.digest,
        heartbeat.policy_offset,
        reportcodec.thresholds_to_wire(heartbeat.thresholds),
        False,
        heartbeat.release,
        heartbeat.threshold,
        heartbeat.load_permille,
        heartbeat.buckets,
        reportcodec.calls_to_wire(heartbeat.calls),
        reportcodec.crashes_to_wire(heartbeat.crashes),
        heartbeat.sent_ms,
        heartbeat.echoed_ms,
    )
    reportcodec.add_evidence(wire, heartbeat.evidence)
    return wire


def _heartbeat_from_wire(wire: ttypes.Heartbeat) -> messages.Heartbeat:
    """Return a heartbeat without what can't be used of it.

    Its first member is the sender; without it nothing can be used.
    """
    heartbeat = messages.Heartbeat(
        sequence=reportcodec.require_field(wire.sequence),
        reply=reportcodec.require_field(wire.reply),
        members=_members_from_wire(wire.members or ()),
        digest=reportcodec.require_field(wire.digest),
        policy_offset=reportcodec.require_field(wire.policy_offset),
        threshold=reportcodec.threshold_or_admit_all(wire.threshold),
        thresholds=reportcodec.thresholds_from_wire(wire.thresholds),
        load_permille=reportcodec.amount_or_zero(wire.load_permille),
        buckets=wire.buckets or [],
        release=wire.release or '',
        calls=reportcodec.calls_from_wire(wire.calls),
        crashes=reportcodec.crashes_from_wire(wire.crashes),
        sent_ms=reportcodec.finite_or_none(wire.sent_ms),
        echoed_ms=reportcodec.finite_or_none(wire.echoed_ms),
        evidence=reportcodec.evidence_from_wire(wire),
    )
    for received, used in (
        (wire.members, heartbeat.members),
        (wire.thresholds, heartbeat.thresholds),
        (wire.calls, heartbeat.calls),
        (wire.crashes, heartbeat.crashes),
    ):
        heartbeat.omitted += len(received or ()) - len(used)
    return heartbeat


def _members_from_wire(wires: Sequence[ttypes.Member]) -> list[Member]:
    sender = [_member_from_wire(wire) for wire in wires[:1]]
    return sender + reportcodec.usable(_member_from_wire, wires[1:])


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
    messages.Call: (FrameKind.CALL, ttypes.Call, _call_to_wire),
    messages.Answer: (FrameKind.ANSWER, ttypes.Answer, _answer_to_wire),
    messages.Cancel: (
        FrameKind.CANCEL,
        ttypes.Cancel,
        lambda cancel: ttypes.Cancel(cancel.attempt),
    ),
    messages.Heartbeat: (
        FrameKind.HEARTBEAT,
        ttypes.Heartbeat,
        _heartbeat_to_wire,
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
    FrameKind.CALL: (ttypes.Call, _call_from_wire),
    FrameKind.ANSWER: (ttypes.Answer, _answer_from_wire),
    FrameKind.CANCEL: (
        ttypes.Cancel,
        lambda wire: messages.Cancel(reportcodec.require_field(wire.attempt)),
    ),
    FrameKind.HEARTBEAT: (ttypes.Heartbeat, _heartbeat_from_wire),
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
