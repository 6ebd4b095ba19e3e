"""Compare ways to keep organisations within quotas over all nodes.

Each way serves the same requests on the same nodes, with the same faults::

    python -m bergamotmount.tools.experiment.quotaways --size 60 --seeds 3

A row tells, for a way and a play, which share of the requests was refused,
the largest number of runs in any window as a share of what is allowed, and the
messages for each request. Each row is written as its play ends.
"""

import argparse
import asyncio
import math
import random
import sys

from bergamotmount.hashing import hash64
from bergamotmount.messages import QuotaRequest
from bergamotmount.organisations.organisation import Organisation, Quota
from bergamotmount.organisations.tokenbucket import TokenBucket
from bergamotmount.outcomes import NotRun
from bergamotmount.reasons import RefusalReason
from bergamotmount.tools.emulation.quotacluster import (
    QuotaCluster,
    QuotaNode,
    Spender,
)
from bergamotmount.tools.virtualloop import run_virtual

#: Interval at which nodes tell each other of their demand, and the time until
#: all have heard of it.
GOSSIP_MS = 1000

#: Time constant of the average of the demand at a node.
DEMAND_AVERAGE_MS = 3000

SETTLE_S = 8
PHASE_S = 8

#: Rates of the organisations' quotas, and the usual share that they use.
RATES_PER_S = (3, 25, 180)
USUAL_SHARE = 0.625

#: Number of nodes at which the clients of an organisation are, at most.
CLIENT_NODES_PER_RATE = 4

_REFUSED = NotRun(RefusalReason.OVER_QUOTA)


class _NodeShare:
    """Token bucket at one node, for its share of each quota."""

    def __init__(self, node: QuotaNode) -> None:
        self._node = node
        self._bucket_by_name: dict[str, TokenBucket] = {}

    async def spend(self, organisation: Organisation) -> NotRun | None:
        """Spend a token of this node's share."""
        bucket = self._bucket_by_name.get(organisation.name)
        if bucket is None:
            bucket = TokenBucket(self._node.clock, organisation.quota)
            self._bucket_by_name[organisation.name] = bucket
        share = self.share_of(organisation)
        quota = organisation.quota
        bucket.quota = Quota(quota.rate_per_s, max(quota.burst * share, 1))
        bucket.refill(share)
        return None if bucket.take(1) else _REFUSED

    def share_of(self, organisation: Organisation) -> float:
        """Return the share of each node: the same for all."""
        return 1 / len(self._node.cluster.names)


class _DemandShare(_NodeShare):
    """Shares that follow the demand of which nodes tell each other."""

    def __init__(self, node: QuotaNode) -> None:
        super().__init__(node)
        self._demand_by_name: dict[str, _Demand] = {}

    async def spend(self, organisation: Organisation) -> NotRun | None:
        """Spend a token, and count the request as demand."""
        self._demand(organisation.name).record()
        return await super().spend(organisation)

    def share_of(self, organisation: Organisation) -> float:
        """Return the share of the demand, as it was told last."""
        cluster = self._node.cluster
        name = organisation.name
        told = {
            node.name: node.spender.told_demand(name)
            for node in cluster.node_by_name.values()
            if node.side == self._node.side
        }
        # Half of the quota is dealt out evenly, for nodes without demand yet.
        even = 1 / len(cluster.names)
        total = sum(told.values())
        reachable = len(told) / len(cluster.names)
        if not total:
            return even
        return (even + reachable * told[self._node.name] / total) / 2

    def told_demand(self, name: str) -> float:
        """Return the demand at this node that the others know of."""
        return self._demand(name).told(self._node.clock.now_ms())

    def _demand(self, name: str) -> '_Demand':
        demand = self._demand_by_name.get(name)
        if demand is None:
            demand = _Demand(self._node)
            self._demand_by_name[name] = demand
        return demand


class _Demand:
    """Averaged demand at one node, and what it told others last."""

    def __init__(self, node: QuotaNode) -> None:
        self._node = node
        self._count: float = 0
        self._counted_ms: float = 0
        self._told: float = 0
        self._told_ms = -math.inf

    def record(self) -> None:
        now_ms = self._node.clock.now_ms()
        self._count = 1 + self._current(now_ms)
        self._counted_ms = now_ms

    def told(self, now_ms: float) -> float:
        if now_ms - self._told_ms >= GOSSIP_MS:
            self._told = self._current(now_ms)
            self._told_ms = now_ms
        return self._told

    def _current(self, now_ms: float) -> float:
        elapsed_ms = now_ms - self._counted_ms
        return self._count * math.exp(-elapsed_ms / DEMAND_AVERAGE_MS)


class _AskEachTime:
    """One owner of each quota, asked for each request."""

    def __init__(self, node: QuotaNode) -> None:
        self._node = node

    async def spend(self, organisation: Organisation) -> NotRun | None:
        """Ask the owner; refuse if it can't be reached."""
        node = self._node
        owner = node.ring.owner_of(organisation.name)
        if owner is None:
            return _REFUSED
        other = node.cluster.node_by_name[owner.node]
        if other.side != node.side or other.is_paused:
            return NotRun(RefusalReason.QUOTA_UNAVAILABLE)
        node.cluster.messages += 2
        request = QuotaRequest(0, organisation.name, node.name, 1, 0, 0)
        return None if other.owner.answer(request).tokens else _REFUSED


def _tokens(node: QuotaNode) -> Spender:
    return node.tokens


WAY_BY_NAME = {
    'equal-shares': _NodeShare,
    'demand-shares': _DemandShare,
    'owner-each-time': _AskEachTime,
    'owner-tokens': _tokens,
}

PLAYS = ('calm', 'hot', 'cut', 'restarts')


async def run_play(way: str, play: str, size: int, seed: int) -> str:
    """Play one way; return a row of the table."""
    organisations = [
        Organisation(f'o-{rate}', (), quota=Quota(rate, rate))
        for rate in RATES_PER_S
    ]
    cluster = QuotaCluster(size, organisations, seed, WAY_BY_NAME[way])
    cluster.start()
    rng = random.Random(seed)
    factor = 7.5 if play == 'hot' else 1
    await asyncio.sleep(SETTLE_S)
    for organisation in organisations:
        clients = min(size, CLIENT_NODES_PER_RATE * organisation.quota.burst)
        nodes = rng.sample(cluster.names, int(clients))
        rate_per_s = organisation.quota.rate_per_s * USUAL_SHARE * factor
        cluster.run(cluster.send_at_rate(organisation.name, nodes, rate_per_s))
    await asyncio.sleep(PHASE_S)
    names = sorted(cluster.names, key=hash64)[: max(size // 4, 1)]
    match play:
        case 'cut':
            await cluster.cut(names, PHASE_S)
        case 'restarts':
            for name in names:
                await cluster.restart(name, PHASE_S / len(names))
        case _:
            await asyncio.sleep(PHASE_S)
    await asyncio.sleep(PHASE_S)
    cluster.close()
    return _row(way, play, cluster)


def _row(way: str, play: str, cluster: QuotaCluster) -> str:
    outcomes = cluster.outcomes
    ran = sum(len(each.ran_s) for each in outcomes.values())
    over = sum(each.over_quota for each in outcomes.values())
    unavailable = sum(each.unavailable for each in outcomes.values())
    total = ran + over + unavailable
    most = max(
        each.most_in_window() / cluster.allowed(name)
        for name, each in outcomes.items()
    )
    return (
        f'{way:16}{play:10}{len(cluster.names):6}{total:8}'
        f'{over / total:9.4f}{unavailable / total:9.4f}'
        f'{most:8.3f}{cluster.messages / total:8.2f}\n'
    )


def main() -> None:
    """Play all ways, and print a row for each play."""
    parser = argparse.ArgumentParser(
        prog='python -m bergamotmount.tools.experiment.quotaways',
        description=__doc__,
    )
    parser.add_argument('--size', type=int, action='append')
    parser.add_argument('--seeds', type=int, default=1)
    arguments = parser.parse_args()
    sys.stdout.write(
        'way             play       nodes requests    over unavail.    most'
        ' msgs/req\n'
    )
    for size in arguments.size or (15, 60):
        for play in PLAYS:
            for way in WAY_BY_NAME:
                for seed in range(1, arguments.seeds + 1):
                    row = run_virtual(run_play(way, play, size, seed))
                    sys.stdout.write(row)
                    sys.stdout.flush()


if __name__ == '__main__':
    main()
