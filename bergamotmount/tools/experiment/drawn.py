"""Deployments and scenarios drawn from wide ranges.

A policy that is tuned to a few known deployments does badly on these::

    deployment, scenario = draw(seed=7)
"""

import random

from bergamotmount.clock import MS_PER_SECOND
from bergamotmount.tools.emulation.model import (
    CallPlan,
    Deployment,
    Event,
    Kind,
    Scenario,
    Service,
)

#: Length of a drawn scenario, and the latest start of a trouble.
SECONDS = 16
LAST_START_S = 9

#: Range of the share of the scarcest service's capacity that is used.
LOAD_RANGE = (0.5, 0.95)

_SPEEDS = (0.5, 0.7, 1, 1, 1.5)
_STRENGTHS_BY_FAULT = {
    'slow': (3, 8),
    'shed': (0.2, 0.7),
    'fail': (0.2, 0.7),
    'crash': (1, 1),
}


def draw(seed: int) -> tuple[Deployment, Scenario]:
    """Return a deployment and a scenario with some troubles."""
    rng = random.Random(seed)
    domains = rng.randint(2, 4)
    services = [
        _draw_service(rng, f'tier-{depth}', domains)
        for depth in range(rng.randint(2, 4))
    ]
    kinds = _draw_kinds(rng, services)
    rate = _usable_rate(services, kinds) * rng.uniform(*LOAD_RANGE)
    deployment = Deployment(
        f'drawn-{seed}',
        domains,
        rate,
        {service.name: service for service in services},
        {kind.name: kind for kind in kinds},
        budget_slack=sum(service.servers for service in services),
    )
    return deployment, _draw_scenario(rng, services, domains)


def _draw_service(rng: random.Random, name: str, domains: int) -> Service:
    slots = rng.randint(8, 40)
    return Service(
        name,
        domains * rng.randint(1, 2),
        slots,
        queue=3 * slots,
        speeds=tuple(rng.choice(_SPEEDS) for _ in range(3)),
        knee=rng.choice((0.95, 2)),
        knee_factor=1.3,
    )


def _draw_kinds(rng: random.Random, services: list[Service]) -> list[Kind]:
    """Return a root kind for each service, and the calls between them."""
    kinds = []
    callee = ''
    for service in reversed(services):
        work_ms = rng.uniform(10, 40)
        kinds.append(
            Kind(
                f'call-{service.name}',
                service.name,
                work_ms,
                deadline_ms=2000,
                timeout_ms=2000,
                level=2,
                calls=_draw_calls(rng, callee),
            )
        )
        kinds.append(_draw_root(rng, service, callee))
        callee = f'call-{service.name}'
    return kinds


def _draw_root(rng: random.Random, service: Service, callee: str) -> Kind:
    work_ms = rng.uniform(40, 200)
    aim_ms = work_ms * rng.uniform(4, 10)
    level = rng.randint(0, 2)
    return Kind(
        f'root-{service.name}',
        service.name,
        work_ms,
        deadline_ms=3 * aim_ms,
        timeout_ms=2 * aim_ms,
        aim_ms=aim_ms,
        share=rng.uniform(0.1, 1),
        worth=3 - level,
        late_worth=rng.uniform(0, 0.5) * (3 - level),
        level=level,
        retries=1,
        is_idempotent=rng.choice((True, False)),
        calls=_draw_calls(rng, callee),
    )


def _draw_calls(rng: random.Random, callee: str) -> CallPlan | None:
    if not callee:
        return None
    return CallPlan(
        callee, rng.randint(1, 3), at_once=rng.choice((True, False, False))
    )


def _usable_rate(services: list[Service], kinds: list[Kind]) -> float:
    """Return the rate of callers' requests that uses a service up."""
    kind_by_name = {kind.name: kind for kind in kinds}
    roots = [kind for kind in kinds if kind.share]
    shares = sum(kind.share for kind in roots)
    work_by_service: dict[str, float] = {}
    for root in roots:
        _add_work(root, root.share / shares, kind_by_name, work_by_service)
    return min(
        MS_PER_SECOND
        * service.servers
        * service.slots
        / work_by_service[service.name]
        for service in services
    )


def _add_work(
    kind: Kind,
    times: float,
    kind_by_name: dict[str, Kind],
    work_by_service: dict[str, float],
) -> float:
    """Add the slot time of a kind and its calls; return that of one run."""
    run_ms = kind.work_ms
    if kind.calls is not None:
        callee = kind_by_name[kind.calls.kind]
        calls = times * kind.calls.times
        call_ms = _add_work(callee, calls, kind_by_name, work_by_service)
        rounds = 1 if kind.calls.at_once else kind.calls.times
        run_ms += call_ms * rounds
    work_ms = work_by_service.get(kind.service, 0)
    work_by_service[kind.service] = work_ms + times * run_ms
    return run_ms


def _draw_scenario(
    rng: random.Random, services: list[Service], domains: int
) -> Scenario:
    burst = Event('burst', 2, SECONDS - 3, strength=rng.uniform(1, 2))
    events = [burst]
    for _ in range(rng.randint(1, 2)):
        start_s = rng.uniform(3, LAST_START_S)
        effect = rng.choice(list(_STRENGTHS_BY_FAULT))
        events.append(
            Event(
                effect,
                start_s,
                start_s + rng.uniform(2, 5),
                where=rng.choice(services).name,
                share=rng.choice((0.25, 0.5, 1)),
                strength=rng.uniform(*_STRENGTHS_BY_FAULT[effect]),
            )
        )
    if rng.choice((True, False, False)):
        cut = f'fd-{rng.randint(1, domains)}'
        events.append(Event('cut', 5, 9, where=cut))
    return Scenario('drawn', SECONDS, tuple(events))
