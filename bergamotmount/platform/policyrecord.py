"""Decodes the operators' policy record into a route policy.

A record is one policy: it is applied as a whole or not at all. Only an
organisation that can't be used is left out, so that the others keep their keys.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from bergamotmount.fieldchecks import MAX_NAME_CHARS, MAX_VERSION, PRINTABLE
from bergamotmount.forwarding.headers import is_header_text
from bergamotmount.forwarding.policysource import PolicyError
from bergamotmount.forwarding.routetable import (
    CallerLimits,
    Route,
    RoutePolicy,
    ServicePolicy,
    WeightedService,
)
from bergamotmount.jsoninput import JsonError, decode_json
from bergamotmount.log import part_logger
from bergamotmount.organisations.organisation import Organisation, Quota

#: Upper bounds of numbers in a record.
MAX_TIMEOUT_S = 24 * 60 * 60
MAX_BYTES = 2**40
MAX_LEVEL = 1_000_000
MAX_SERVERS = 1_000_000
MAX_WEIGHT = 10**9
MAX_QUOTA = 10**9

_MS_PER_SECOND = 1000
_HEX = 16
_IDEMPOTENT = 'safe'

_Name = Annotated[
    str, msgspec.Meta(pattern=PRINTABLE, max_length=MAX_NAME_CHARS)
]
_Path = Annotated[str, msgspec.Meta(pattern=r'^/[^\s\x00-\x1f\x7f]*\Z')]
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)]
_Bytes = Annotated[int, msgspec.Meta(ge=1, le=MAX_BYTES)]

_log = part_logger('policy')


class _WireWeightedService(msgspec.Struct):
    service: _Name
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


class _WireRoute(msgspec.Struct):
    name: _Name
    host: _Name
    path_prefix: _Path
    route_type: str
    timeout_s: _Seconds
    priority: Annotated[int, msgspec.Meta(ge=0, le=MAX_LEVEL)] = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_SERVERS)] = 1
    target_latency_s: Annotated[float, msgspec.Meta(gt=0)] = math.inf
    service: _Name | msgspec.UnsetType = msgspec.UNSET
    traffic_split: list[_WireWeightedService] = []
    public: bool = False


class _WireService(msgspec.Struct):
    name: _Name
    health_path: _Path = '/'


class _WireOrganisation(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _WireLimits(msgspec.Struct):
    max_header_bytes: _Bytes
    max_body_bytes: _Bytes
    header_timeout_s: _Seconds
    idle_timeout_s: _Seconds


class _WireRecord(msgspec.Struct):
    version: Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F]{1,16}\Z')]
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits
    tenants: list[_WireOrganisation] | msgspec.UnsetType = msgspec.UNSET


_decoder = msgspec.json.Decoder(_WireRecord)


def parse_record(record: bytes) -> RoutePolicy:
    """Return the policy in a record.

    Raise :class:`PolicyError` when the record isn't a valid policy.
    """
    try:
        wire = decode_json(_decoder.decode, record)
    except JsonError as error:
        raise PolicyError(str(error)) from error
    version = int(wire.version, _HEX)
    if version > MAX_VERSION:
        raise PolicyError('version is too large')
    return RoutePolicy(
        version,
        tuple(_route_from_wire(route) for route in wire.routes),
        {
            service.name: ServicePolicy(
                service.name,
                service.health_path,
            )
            for service in wire.services
        },
        CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_s * _MS_PER_SECOND,
            wire.limits.idle_timeout_s * _MS_PER_SECOND,
        ),
        None
        if wire.tenants is msgspec.UNSET
        else _organisations_from_wire(wire.tenants),
    )


def _route_from_wire(wire: _WireRoute) -> Route:
    split = tuple(
        WeightedService(weighted.service, weighted.weight)
        for weighted in wire.traffic_split
    )
    if not split:
        if wire.service is msgspec.UNSET:
            raise PolicyError(f'route {wire.name!r} names no service')
        split = (WeightedService(wire.service, 1),)
    if not any(weighted.weight for weighted in split):
        raise PolicyError(f'route {wire.name!r} weighs all services 0')
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        is_idempotent=wire.route_type == _IDEMPOTENT,
        timeout_ms=wire.timeout_s * _MS_PER_SECOND,
        level=wire.priority,
        max_servers=wire.max_attempts,
        split=split,
        goal_ms=wire.target_latency_s * _MS_PER_SECOND,
        is_public=wire.public,
    )


def _organisations_from_wire(
    wires: Iterable[_WireOrganisation],
) -> tuple[Organisation, ...]:
    """Return the valid organisations.

    An invalid one is left out, so its keys are unknown; the others keep theirs.
    """
    organisation_by_name: dict[str, Organisation] = {}
    for wire in wires:
        problem = _find_problem(wire)
        if not problem and wire.name in organisation_by_name:
            problem = 'another one has this name'
        if problem:
            _log.warning('Organisation {!r} left out: {}.', wire.name, problem)
        else:
            organisation_by_name[wire.name] = _organisation_from_wire(wire)
    return tuple(organisation_by_name.values())


def _find_problem(wire: _WireOrganisation) -> str:
    if not is_header_text(wire.name):
        return 'its name cannot be sent in a header'
    if wire.rate_per_s < 0 or wire.burst < 0:
        return 'its quota is negative'
    return ''


def _organisation_from_wire(wire: _WireOrganisation) -> Organisation:
    has_limit = wire.rate_per_s > 0
    return Organisation(
        name=wire.name,
        keys=tuple(wire.api_keys),
        level=min(max(wire.priority, 0), MAX_LEVEL),
        quota=Quota(min(wire.rate_per_s, MAX_QUOTA), min(wire.burst, MAX_QUOTA))
        if has_limit
        else None,
    )
