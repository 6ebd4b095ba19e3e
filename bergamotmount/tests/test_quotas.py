"""Tests of quotas over all nodes, against a record of what ran when."""

import asyncio
import random

from bergamotmount.clock import LoopClock
from bergamotmount.messages import QuotaRequest
from bergamotmount.organisations.organisation import Organisation, Quota
from bergamotmount.organisations.tokenbucket import TokenBucket
from bergamotmount.reasons import RefusalReason
from bergamotmount.tools.emulation.quotacluster import OPTIONS, QuotaCluster
from bergamotmount.tests.virtualtime import VirtualTestCase

SETTLE_S = 8

#: Usual demand of an organisation, as a share of its quota.
USUAL_SHARE = 0.625


def organisation(name: str, rate_per_s: float) -> Organisation:
    """Return an organisation whose burst is one second of its rate."""
    return Organisation(name, (name,), quota=Quota(rate_per_s, rate_per_s))


class QuotaPlay:
    """A cluster under load, and the checks on what ran."""

    def __init__(self, test, size: int, seed: int, rates=(3, 25, 180)) -> None:
        self.test = test
        self.rng = random.Random(seed)
        self.cluster = QuotaCluster(
            size, [organisation(f'o-{rate}', rate) for rate in rates], seed
        )
        self.cluster.start()

    async def offer(self, factor: float, duration_s: float) -> None:
        """Offer a multiple of the usual demand of all organisations."""
        streams = [
            asyncio.create_task(
                self.cluster.send_at_rate(
                    name,
                    self.cluster.names,
                    each.quota.rate_per_s * USUAL_SHARE * factor,
                )
            )
            for name, each in self.cluster.organisations.items()
        ]
        await asyncio.sleep(duration_s)
        for stream in streams:
            stream.cancel()

    def check_bound(self) -> None:
        """No organisation runs more in any window than is allowed."""
        for name, outcomes in self.cluster.outcomes.items():
            self.test.assertLessEqual(
                outcomes.most_in_window(), self.cluster.allowed(name), name
            )

    def refused(self) -> float:
        """Return the share of the requests that was refused."""
        ran = 0
        refused = 0
        for outcomes in self.cluster.outcomes.values():
            ran += len(outcomes.ran_s)
            refused += outcomes.over_quota + outcomes.unavailable
        return refused / (ran + refused)


class QuotaBoundTest(VirtualTestCase):
    """The sum over all nodes stays within the quota, whatever happens."""

    async def test_calm(self):
        """Requests below the quota were refused."""
        for size in (1, 15, 60):
            with self.subTest(size=size):
                play = QuotaPlay(self, size, seed=1)
                await asyncio.sleep(SETTLE_S)
                await play.offer(1, 20)
                play.check_bound()
                self.assertLess(play.refused(), 0.002)
                play.cluster.close()

    async def test_hot_organisations(self):
        """Several times the quota ran while the nodes learned of it."""
        play = QuotaPlay(self, 60, seed=2)
        await asyncio.sleep(SETTLE_S)
        await play.offer(1, 8)
        await play.offer(7.5, 8)
        await play.offer(1, 8)
        play.check_bound()
        for name, outcomes in play.cluster.outcomes.items():
            quota = play.cluster.organisations[name].quota
            # Most of what the quota allows is used while demand exceeds it.
            self.assertGreater(
                outcomes.most_in_window(), 0.9 * quota.allowed_in(5000), name
            )
        play.cluster.close()

    async def test_distant_owners(self):
        """Answers that took longer than expected lost their tokens."""
        play = QuotaPlay(self, 15, seed=3)
        play.cluster.latency_s = 0.045
        await asyncio.sleep(SETTLE_S)
        await play.offer(1, 20)
        play.check_bound()
        self.assertLess(play.refused(), 0.01)
        play.cluster.close()

    async def test_random_faults(self):
        """Each side of a cut, and each restarted owner, minted the quota."""
        for seed in range(12):
            size = (8, 24, 60)[seed % 3]
            with self.subTest(seed=seed, size=size):
                await self.play_faults(size, seed)

    async def play_faults(self, size: int, seed: int) -> None:
        play = QuotaPlay(self, size, seed)
        cluster, rng = play.cluster, play.rng
        await asyncio.sleep(SETTLE_S)
        load = asyncio.create_task(self.offer_all(play))
        for _ in range(6):
            await asyncio.sleep(rng.uniform(0.5, 3))
            share = rng.choice((3, 4, 8))
            names = rng.sample(cluster.names, max(size // share, 1))
            await self.inject_fault(cluster, rng, names)
        await load
        play.check_bound()
        cluster.close()

    async def inject_fault(
        self, cluster: QuotaCluster, rng: random.Random, names: list[str]
    ) -> None:
        match rng.choice(('cut', 'zone', 'restart', 'pause', 'restart-all')):
            case 'cut':
                await cluster.cut(names, rng.uniform(2, 9))
            case 'zone':
                domain = cluster.domain_of(names[0])
                side = [
                    name
                    for name in cluster.names
                    if cluster.domain_of(name) == domain
                ]
                await cluster.cut(side, rng.uniform(2, 9))
            case 'restart':
                for name in names:
                    cluster.run(cluster.restart(name, rng.uniform(0.3, 2)))
            case 'pause':
                for name in names:
                    cluster.pause(name, rng.uniform(0.5, 4))
            case _:
                for name in cluster.names:
                    cluster.run(cluster.restart(name, 1))

    async def offer_all(self, play: QuotaPlay) -> None:
        for _ in range(6):
            await play.offer(play.rng.choice((1, 1.7, 4, 7.5)), 5)


class TokenBucketTest(VirtualTestCase):
    """A bucket starts empty and mints at its rate, up to its burst."""

    async def test_start_and_burst(self):
        """A new owner granted a burst that had been spent already."""
        bucket = TokenBucket(LoopClock(), Quota(10, 5))
        bucket.refill(1)
        self.assertEqual(bucket.take(3), 0)
        await asyncio.sleep(0.25)
        bucket.refill(1)
        self.assertEqual(bucket.take(3), 2)
        await asyncio.sleep(60)
        bucket.refill(1)
        self.assertEqual(bucket.take(100), 5)

    async def test_times_to_return_follow_each_other(self):
        """All refused callers were told to return for the same token."""
        bucket = TokenBucket(LoopClock(), Quota(10, 5))
        bucket.refill(1)
        waits_ms = [round(bucket.retry_after_ms(1)) for _ in range(3)]
        self.assertEqual(waits_ms, [100, 200, 300])


class OwnerTest(VirtualTestCase):
    """Only the owner grants, and a quota that is lowered binds at once."""

    async def test_other_node(self):
        """Two nodes granted the tokens of one quota."""
        cluster = QuotaCluster(8, [organisation('o', 100)], seed=1)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        owners = [
            node
            for node in cluster.node_by_name.values()
            if node.owner.answer(QuotaRequest(1, 'o', 'n-0', 1, 0, 0)).is_owner
        ]
        self.assertEqual(len(owners), 1)
        cluster.close()

    async def test_owner_that_was_suspended(self):
        """It granted a burst that another node had granted meanwhile."""
        cluster = QuotaCluster(8, [organisation('o', 100)], seed=1)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        node = cluster.node_by_name['n-0']
        owner = cluster.node_by_name[node.ring.owner_of('o').node]
        cluster.pause(owner.name, 3)
        await asyncio.sleep(3)
        grant = owner.owner.answer(QuotaRequest(1, 'o', 'n-0', 100, 0, 0))
        self.assertEqual(grant.tokens, 0)
        cluster.close()

    async def test_owner_that_comes_back(self):
        """Requests were refused for a while although the owner was back."""
        cluster = QuotaCluster(8, [organisation('o', 100)], seed=1)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        node = cluster.node_by_name['n-0']
        owner = cluster.node_by_name[node.ring.owner_of('o').node]
        self.assertIsNot(owner, node)
        quota = cluster.organisations['o']
        owner.side = 'cut'
        refusal = await node.tokens.spend(quota)
        self.assertIs(refusal.reason, RefusalReason.QUOTA_UNAVAILABLE)
        owner.side = ''
        await asyncio.sleep(0.05)
        await node.tokens.spend(quota)
        await asyncio.sleep(0.01)
        self.assertIsNone(await node.tokens.spend(quota))
        cluster.close()

    async def test_lowered_limit(self):
        """A burst that was saved up outlived the limit that allowed it."""
        cluster = QuotaCluster(4, [organisation('o', 100)], seed=1)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        cluster.organisations['o'] = organisation('o', 5)
        node = cluster.node_by_name['n-0']
        ran = 0
        for _ in range(100):
            refusal = await node.tokens.spend(cluster.organisations['o'])
            ran += refusal is None
        self.assertLessEqual(ran, 5 + OPTIONS.slack)
        self.assertIs(refusal.reason, RefusalReason.OVER_QUOTA)
        cluster.close()
