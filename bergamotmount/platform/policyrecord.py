"""Decodes the operators' policy record into a route policy."""

import math
from collections.abc import Iterable

import msgspec

from bergamotmount.forwarding.headers import is_header_text
from bergamotmount.forwarding.policysource import PolicyError
from bergamotmount.forwarding.routetable import (
    CallerLimits,
    Route,
    RoutePolicy,
    ServicePolicy,
    WeightedService,
)
from bergamotmount.jsoninput import decode_json
from bergamotmount.log import part_logger
from bergamotmount.organisations.organisation import Organisation, Quota

_MS_PER_SECOND = 1000
_HEX = 16
_IDEMPOTENT = 'safe'

_log = part_logger('policy')


class _WireWeightedService(msgspec.Struct):
    service: str
    weight: float


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_s: float
    priority: int = 0
    max_attempts: int = 1
    target_latency_s: float = math.inf
    service: str = ''
    traffic_split: list[_WireWeightedService] = []
    public: bool = False


class _WireService(msgspec.Struct):
    name: str
    health_path: str = '/'


class _WireOrganisation(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _WireLimits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _WireRecord(msgspec.Struct):
    version: str
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
        version = int(wire.version, _HEX)
    except ValueError as error:
        raise PolicyError(str(error)) from error
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
    split = split or (WeightedService(wire.service, 1),)
    if not all(weighted.service for weighted in split):
        raise PolicyError(f'route {wire.name} names no service')
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
        level=max(wire.priority, 0),
        quota=Quota(wire.rate_per_s, wire.burst) if has_limit else None,
    )
