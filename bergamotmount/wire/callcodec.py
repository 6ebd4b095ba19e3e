"""Conversion between calls with their answers and thrift's structs."""

import enum
import re
from typing import TypeVar

from bergamotmount import messages
from bergamotmount.outcomes import Answered, NotRun, Outcome, Unknown
from bergamotmount.reasons import DropReason, RefusalReason, UnknownReason
from bergamotmount.wire import reportcodec
from bergamotmount.wire.frames import FrameError
from bergamotmount.wire.gen import ttypes

_ReasonType = TypeVar('_ReasonType', RefusalReason, UnknownReason)

_MIN_STATUS = 200
_MAX_STATUS = 599

#: What would end a header, and a method or target, in a request or response.
_header_break = re.compile(r'[\r\n\0]')
_word_break = re.compile(r'[\x00-\x20\x7f]')


class _WireOutcome(enum.IntEnum):
    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


def call_to_wire(call: messages.Call) -> ttypes.Call:
    """Encode a call."""
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


def call_from_wire(wire: ttypes.Call) -> messages.Call:
    """Decode a call; raise :class:`FrameError` if it can't be used."""
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


def answer_to_wire(answer: messages.Answer) -> ttypes.Answer:
    """Encode an answer."""
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


def answer_from_wire(wire: ttypes.Answer) -> messages.Answer:
    """Decode an answer; odd reports in it are left out."""
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
