"""Encodes the entry of a node in the platform's store.

Another writer may have left anything there. An entry counts only if each of
its fields can be used, since nodes pass it on to each other.
"""

import dataclasses

import msgspec

from bergamotmount.fieldchecks import (
    MAX_NAME_CHARS,
    MAX_VERSION,
    is_address,
    is_name,
)
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


def parse_member(node: str, packed: bytes, era: int) -> NodeEntry:
    """Return the node that a record describes.

    ``era`` is that of the store: no node can have taken a later one for
    settled. Raise :class:`EntryError` when the record isn't an entry of a node.
    """
    try:
        wire = decode_json(_decoder.decode, packed)
    except JsonError as error:
        raise EntryError(str(error)) from error
    problem = _find_problem(node, wire, era)
    if problem:
        raise EntryError(problem)
    member = Member(
        node,
        wire.address,
        wire.region,
        wire.failure_domain,
        wire.incarnation,
    )
    return NodeEntry(member, wire.settled_era)


def _find_problem(node: str, wire: _WireMember, era: int) -> str:
    if not all(map(is_name, (node, wire.region, wire.failure_domain))):
        return 'a name is empty, too long or not printable'
    if not is_address(wire.address):
        return f'not an address: {wire.address[:MAX_NAME_CHARS]!r}'
    if not 0 <= wire.incarnation <= MAX_VERSION:
        return 'incarnation out of range'
    if not 0 <= wire.settled_era <= era:
        return f'settled era is not between 0 and {era}'
    return ''
