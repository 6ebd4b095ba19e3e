"""Conversion between heartbeats with their members and thrift's structs."""

import functools
from collections.abc import Sequence

from bergamotmount import messages
from bergamotmount.fieldchecks import MAX_VERSION, is_address, is_name
from bergamotmount.member import Member, MemberState
from bergamotmount.reasons import DropReason
from bergamotmount.wire import reportcodec
from bergamotmount.wire.frames import FrameError
from bergamotmount.wire.gen import ttypes

#: Number of members whose check is remembered.
_CACHED_MEMBERS = 4096


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
        # Only operators use it: a node may leave the choice of its port open.
        wire.admin if wire.admin and is_address(wire.admin) else '',
    )
    is_current = 0 <= member.incarnation <= MAX_VERSION
    is_valid = is_current and 0 <= member.version <= MAX_VERSION
    if not is_valid or not _is_usable(
        (member.node, member.region, member.failure_domain),
        member.service,
        member.address,
    ):
        raise FrameError(DropReason.FRAME_MALFORMED)
    return member


@functools.lru_cache(_CACHED_MEMBERS)
def _is_usable(names: tuple[str, ...], service: str, address: str) -> bool:
    """Return whether a member can be dialled and passed on."""
    is_service = not service or is_name(service)
    return is_service and all(map(is_name, names)) and is_address(address)


def heartbeat_to_wire(heartbeat: messages.Heartbeat) -> ttypes.Heartbeat:
    """Encode a heartbeat."""
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
        policy_age_ms=heartbeat.policy_age_ms,
    )
    reportcodec.add_evidence(wire, heartbeat.evidence)
    return wire


def heartbeat_from_wire(wire: ttypes.Heartbeat) -> messages.Heartbeat:
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
        policy_age_ms=reportcodec.age_or_none(wire.policy_age_ms),
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
