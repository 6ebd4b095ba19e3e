"""Conversion between the reports in messages and thrift's structs."""

import contextlib
import math
from collections.abc import Callable, Iterable
from typing import TypeVar

from bergamotmount.fieldchecks import is_amount, is_name
from bergamotmount.rank import ADMIT_ALL_RANK, LEVELS
from bergamotmount.reasons import DropReason
from bergamotmount.reports import (
    CrashReport,
    DemandReport,
    ObservedCall,
    PolicyEvidence,
    ThresholdReport,
)
from bergamotmount.wire.frames import FrameError
from bergamotmount.wire.gen import ttypes

_FieldType = TypeVar('_FieldType')
_WireType = TypeVar('_WireType')


def usable(
    from_wire: Callable[[_WireType], _FieldType],
    wires: Iterable[_WireType] | None,
) -> list[_FieldType]:
    """Return those parts of a message that can be used."""
    parts = []
    for wire in wires or ():
        # What is missing is counted where the message is received.
        with contextlib.suppress(FrameError, ValueError):
            parts.append(from_wire(wire))
    return parts


def demand_from_wire(wire: ttypes.Answer) -> DemandReport:
    """Return the demand in an answer."""
    if wire.allowed is None:
        # Nodes of an older release don't send this field.
        return DemandReport()
    demand = tuple(wire.demand or ())
    is_complete = len(demand) == LEVELS and min(demand) >= 0
    # The sum is finite only if each rate is.
    is_usable = is_complete and math.isfinite(sum(demand))
    if not is_usable or math.isnan(wire.allowed):
        return DemandReport()
    return DemandReport(wire.allowed, demand)


def thresholds_to_wire(
    reports: dict[str, ThresholdReport],
) -> list[ttypes.Threshold]:
    """Encode thresholds by service."""
    return [
        ttypes.Threshold(service, report.rank, report.age_ms)
        for service, report in reports.items()
    ]


def thresholds_from_wire(
    thresholds: list[ttypes.Threshold] | None,
) -> dict[str, ThresholdReport]:
    """Decode thresholds by service."""
    return dict(usable(_threshold_from_wire, thresholds))


def calls_to_wire(calls: list[ObservedCall]) -> list[ttypes.ObservedCall]:
    """Encode observed calls."""
    return [
        ttypes.ObservedCall(call.caller, call.route, call.age_ms)
        for call in calls
    ]


def calls_from_wire(
    calls: list[ttypes.ObservedCall] | None,
) -> list[ObservedCall]:
    """Decode observed calls."""
    return usable(_call_from_wire, calls)


def crashes_to_wire(crashes: list[CrashReport]) -> list[ttypes.CrashReport]:
    """Encode reports of crashes."""
    return [
        ttypes.CrashReport(crash.fingerprint, crash.server, crash.age_ms)
        for crash in crashes
    ]


def crashes_from_wire(
    crashes: list[ttypes.CrashReport] | None,
) -> list[CrashReport]:
    """Decode reports of crashes."""
    return usable(_crash_from_wire, crashes)


def add_evidence(
    wire: ttypes.Answer | ttypes.Heartbeat, evidence: PolicyEvidence | None
) -> None:
    """Set the evidence on the policy in a message, if there is any."""
    if evidence is not None:
        wire.evidence_version = evidence.version
        wire.evidence_age_ms = evidence.age_ms


def evidence_from_wire(
    wire: ttypes.Answer | ttypes.Heartbeat,
) -> PolicyEvidence | None:
    """Return the evidence on the policy in a message, if there is any."""
    if wire.evidence_version is None or wire.evidence_age_ms is None:
        return None
    if wire.evidence_age_ms < 0:
        return None
    return PolicyEvidence(wire.evidence_version, wire.evidence_age_ms)


def age_or_none(age_ms: int | None) -> int | None:
    """Return an age, ``None`` without a usable one."""
    return age_ms if age_ms is not None and age_ms >= 0 else None


def threshold_or_admit_all(rank: float | None) -> float:
    """Return a threshold; without a usable one, everything is admitted."""
    # Nodes of an older release don't send this field.
    is_rank = rank is not None and rank >= 0
    return rank if is_rank else ADMIT_ALL_RANK


def require_field(field: _FieldType | None) -> _FieldType:
    """Return a field; raise :class:`FrameError` if it is missing."""
    if field is None:
        raise FrameError(DropReason.FRAME_MALFORMED)
    return field


def require_amount(number: float | None) -> float:
    """Return a finite number that isn't negative, or raise the same error."""
    if not is_amount(require_field(number)):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return number


def amount_or_zero(number: int | None) -> int:
    """Return a number, 0 in place of one that is missing or negative."""
    return max(number or 0, 0)


def finite_or_none(number: float | None) -> float | None:
    """Return a number, ``None`` in place of one that isn't finite."""
    return number if number is None or math.isfinite(number) else None


def _threshold_from_wire(
    wire: ttypes.Threshold,
) -> tuple[str, ThresholdReport]:
    rank = require_amount(wire.rank)
    age_ms = require_amount(wire.age_ms or 0)
    return _require_name(wire.service_name), ThresholdReport(rank, age_ms)


def _call_from_wire(wire: ttypes.ObservedCall) -> ObservedCall:
    return ObservedCall(
        _require_name(wire.caller),
        _require_name(wire.route),
        require_amount(wire.age_ms or 0),
    )


def _crash_from_wire(wire: ttypes.CrashReport) -> CrashReport:
    return CrashReport(
        require_amount(wire.fingerprint),
        _require_name(wire.server) if wire.server else '',
        require_amount(wire.age_ms or 0),
    )


def _require_name(text: str | None) -> str:
    if not is_name(require_field(text)):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return text
