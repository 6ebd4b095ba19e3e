"""Encodes the entry of a node in the platform's store."""

import dataclasses

import msgspec

from bergamotmount.jsoninput import JsonError, decode_json
from bergamotmount.member import Member


class EntryError(Exception):
    """A record doesn't contain the entry that its key stands for."""


class _WireMember(msgspec.Struct, array_like=True):
    address: str
    region: str
    failure_domain: str
    incarnation: int
    settled_era: int = 0


#: Largest number that messages between nodes can carry.
MAX_WIRE_INTEGER = 2**63 - 1

_decoder = msgspec.json.Decoder(_WireMember)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node, and the era of the store that it took for settled."""

    member: Member
    settled_era: int


def pack_member(member: Member, settled_era: int) -> bytes:
    """Return the record of a node; service and slots aren't part of it."""
    return msgspec.json.encode(
        _WireMember(
            member.address,
            member.region,
            member.failure_domain,
            member.incarnation,
            settled_era,
        )
    )


def parse_member(node: str, packed: bytes) -> NodeEntry:
    """Return the node that a record describes.

    Raise :class:`EntryError` when the record isn't an entry of a node.
    """
    try:
        wire = decode_json(_decoder.decode, packed)
    except JsonError as error:
        raise EntryError(str(error)) from error
    host, _, port = wire.address.rpartition(':')
    if not host or not port.isdecimal():
        raise EntryError(f'{wire.address!r} is not an address')
    if abs(wire.incarnation) > MAX_WIRE_INTEGER:
        raise EntryError(f'incarnation {wire.incarnation} is too large')
    member = Member(
        node,
        wire.address,
        wire.region,
        wire.failure_domain,
        wire.incarnation,
    )
    return NodeEntry(member, wire.settled_era)
