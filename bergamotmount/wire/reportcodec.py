"""Conversion between the reports in messages and thrift's structs."""

from typing import TypeVar

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


def demand_from_wire(wire: ttypes.Answer) -> DemandReport:
    """Return the demand in an answer."""
    if wire.allowed is None:
        # Nodes of an older release don't send this field.
        return DemandReport()
    demand = tuple(wire.demand or ())
    if len(demand) != LEVELS:
        raise FrameError(DropReason.FRAME_MALFORMED)
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
    return {
        wire.service_name: ThresholdReport(wire.rank, wire.age_ms or 0)
        for wire in thresholds or ()
    }


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
    return [
        ObservedCall(
            require_field(wire.caller),
            require_field(wire.route),
            wire.age_ms or 0,
        )
        for wire in calls or ()
    ]


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
    return [
        CrashReport(
            require_field(wire.fingerprint), wire.server or '', wire.age_ms or 0
        )
        for wire in crashes or ()
    ]


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
    return PolicyEvidence(wire.evidence_version, wire.evidence_age_ms)


def threshold_or_admit_all(rank: float | None) -> float:
    """Return a threshold; without one, everything is admitted."""
    # Nodes of an older release don't send this field.
    return ADMIT_ALL_RANK if rank is None else rank


def require_field(field: _FieldType | None) -> _FieldType:
    """Return a field; raise :class:`FrameError` if it is missing."""
    if field is None:
        raise FrameError(DropReason.FRAME_MALFORMED)
    return field
