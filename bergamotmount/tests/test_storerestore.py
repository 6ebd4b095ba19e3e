"""The store comes back from a copy that is some seconds old."""

import asyncio
import random

from bergamotmount.clock import Clock
from bergamotmount.forwarding.http import HttpRequest
from bergamotmount.forwarding.httpconnection import HttpLimits, HttpReply
from bergamotmount.forwarding.httpserver import HttpServer
from bergamotmount.forwarding.store import OutdatedAnswerError, StoreEra
from bergamotmount.platform.store import PlatformStore
from bergamotmount.ports import LogError
from bergamotmount.tests.forwardingfixture import (
    ForwardingFixture,
    default_routes,
    make_forwarding_fixture,
)
from bergamotmount.tests.test_organisations import (
    ZETA,
    keyed_policy,
    make_keyed_fixture,
    send_with_key,
)
from bergamotmount.tests.test_routetable import policy
from bergamotmount.tests.virtualtime import VirtualTestCase

#: Entries have to be back within this time after the store's return, and a
#: policy in force within the same time after its publication.
BACK_S = 2
APPLY_S = 2

SEEDS = range(12)
ROUNDS = 12
NAMES = ('a1', 'a2', 'b1', 'b2')


def versions_of(fixture: ForwardingFixture) -> dict[str, int]:
    """Return the active policy version of each node."""
    return {
        name: host.node.policy_source.version
        for name, host in fixture.host_by_name.items()
    }


class RestoreTest(VirtualTestCase):
    """Positions, entries and versions after a single restore."""

    async def test_entries_are_published_again(self):
        """Nodes that start later could never find the others."""
        fixture = await make_forwarding_fixture()
        fixture.store.restore(60)
        self.assertEqual(fixture.store.member_by_node, {})
        await asyncio.sleep(BACK_S)
        self.assertEqual(set(fixture.store.member_by_node), set(NAMES))
        fixture.close()

    async def test_offset_that_was_given_out_again(self):
        """A follower could miss records below the offset that it reads."""
        fixture = await make_forwarding_fixture()
        for version in (2, 3, 4):
            fixture.store.publish(policy(*default_routes(), version=version))
            await asyncio.sleep(0.5)
        for host in fixture.host_by_name.values():
            host.store.is_partitioned = True
        fixture.store.restore(1.2)
        # Records of other keys end up at the offset that the nodes read next.
        fixture.store.publish(policy(*default_routes(), version=9))
        for _ in range(3):
            fixture.store.write_other_key()
        for host in fixture.host_by_name.values():
            host.store.is_partitioned = False
        await asyncio.sleep(2 * APPLY_S)
        self.assertEqual(set(versions_of(fixture).values()), {9})
        fixture.close()

    async def test_version_never_goes_back(self):
        """The older copy could put an older policy in force again."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(0.5)
        fixture.store.restore(1)
        await asyncio.sleep(3)
        self.assertEqual(set(versions_of(fixture).values()), {7})
        fixture.close()

    async def test_started_node_gets_the_lost_version_from_peers(self):
        """Nodes would apply different policies until the next one."""
        fixture = await make_forwarding_fixture()
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(0.5)
        fixture.store.restore(1)
        host = fixture.host_by_name['a1']
        host.kill()
        host.start()
        await asyncio.sleep(3)
        self.assertEqual(set(versions_of(fixture).values()), {7})
        fixture.close()

    async def test_waiting_read_ends_when_another_answer_shows_the_rise(self):
        """A read that the store has forgotten could wait for 20 s."""
        fixture = await make_forwarding_fixture()
        host = fixture.host_by_name['a1']
        restored_era = fixture.store.era + 1
        fixture.store.era = restored_era
        host.store.era.observe(restored_era)
        fixture.store.publish(policy(*default_routes(), version=7))
        await asyncio.sleep(0.5)
        self.assertEqual(host.node.policy_source.version, 7)
        fixture.close()


class RestartDuringRestoreTest(VirtualTestCase):
    """All nodes start while the store comes back from an older copy.

    Nothing that a process still knows shows that a newer policy was lost.
    """

    async def start(self, copy_age_s: float) -> ForwardingFixture:
        """Withdraw a key, and restart all nodes; restore the store if asked."""
        self.fixture = await make_keyed_fixture()
        await asyncio.sleep(2)
        self.fixture.store.publish(keyed_policy(3, ZETA))
        await asyncio.sleep(0.5)
        for host in self.fixture.host_by_name.values():
            host.kill()
        if copy_age_s:
            self.fixture.store.restore(copy_age_s)
        for host in self.fixture.host_by_name.values():
            host.start()
            host.announce()
        return self.fixture

    async def statuses(self, key: str, seconds: float) -> set[int]:
        """Send requests with a key for a while; return the statuses."""
        host = self.fixture.host_by_name['b1']
        statuses = set()
        for _ in range(int(seconds * 10)):
            statuses.add((await send_with_key(host, key)).status)
            await asyncio.sleep(0.1)
        return statuses

    async def test_withdrawn_key_is_not_accepted(self):
        """The policy of the older copy was taken for the newest."""
        fixture = await self.start(1)
        self.assertNotIn(200, await self.statuses('k1', 1.8))
        fixture.store.publish(keyed_policy(3, ZETA))
        self.assertNotIn(200, await self.statuses('k1', 3))
        self.assertIn(200, await self.statuses('z1', 0.5))
        fixture.close()

    async def test_keys_are_accepted_at_once_without_a_restore(self):
        """A restart of everything must not cost the wait for a restore."""
        fixture = await self.start(0)
        await asyncio.sleep(1)
        self.assertEqual(await self.statuses('z1', 0.5), {200})
        fixture.close()

    async def test_entries_name_the_era_once_it_is_settled(self):
        """Nodes that start later would wait for ever."""
        fixture = await self.start(1)
        self.assertLess(fixture.store.settled_era, fixture.store.era)
        await asyncio.sleep(8)
        self.assertEqual(fixture.store.settled_era, fixture.store.era)
        fixture.close()


class RandomRestoreTest(VirtualTestCase):
    """Restores at random moments, beside other faults of store and nodes."""

    async def test_recorded_truth_holds(self):
        """Versions never go back; entries and the newest version are back."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_seed(random.Random(seed))

    async def run_seed(self, rng: random.Random) -> None:
        """Play faults, then let all end, and compare with the truth."""
        fixture = await make_forwarding_fixture()
        self.rng, self.fixture = rng, fixture
        self.version = 1
        self.highest_by_node: dict[int, int] = {}
        watching = asyncio.create_task(self.watch_versions())
        for _ in range(ROUNDS):
            await rng.choice(
                (
                    self.publish,
                    self.publish,
                    self.restore,
                    self.partition_one,
                    self.lose_answers,
                    self.restart_one,
                )
            )()
            await asyncio.sleep(rng.uniform(0, 1.5))
        for host in fixture.host_by_name.values():
            host.store.is_partitioned = False
            host.store.loses_answers = False
        await asyncio.sleep(4)
        fixture.store.restore(rng.uniform(0, 30))
        await asyncio.sleep(BACK_S)
        self.assertEqual(set(fixture.store.member_by_node), set(NAMES))
        await self.publish()
        await asyncio.sleep(APPLY_S)
        self.assertEqual(set(versions_of(fixture).values()), {self.version})
        self.assertFalse(watching.done(), watching)
        watching.cancel()
        fixture.close()

    async def watch_versions(self) -> None:
        """Check that no process goes back to an older version."""
        while True:
            for host in self.fixture.host_by_name.values():
                source = host.node.policy_source
                highest = self.highest_by_node.get(id(source), -1)
                self.assertGreaterEqual(source.version, highest)
                self.highest_by_node[id(source)] = source.version
            await asyncio.sleep(0.05)

    async def publish(self) -> None:
        """Publish a newer version."""
        self.version += self.rng.randint(1, 3)
        self.publish_current()

    def publish_current(self) -> None:
        """Publish the newest version, for the first time or again."""
        self.fixture.store.publish(
            policy(*default_routes(), version=self.version)
        )

    async def restore(self) -> None:
        """Let the store be away, return, and get the operator's record."""
        self.fixture.store.is_up = False
        await asyncio.sleep(self.rng.uniform(0, 2))
        self.fixture.store.restore(self.rng.uniform(0, 5))
        self.fixture.store.is_up = True
        if self.rng.randrange(3):
            await asyncio.sleep(self.rng.uniform(0, 1))
            self.publish_current()

    async def partition_one(self) -> None:
        """Toggle the partition between one node and the store."""
        store = self.random_host().store
        store.is_partitioned = not store.is_partitioned

    async def lose_answers(self) -> None:
        """Toggle lost answers of one node; its writes come late."""
        store = self.random_host().store
        store.loses_answers = not store.loses_answers
        store.late_s = self.rng.uniform(0, 3)

    async def restart_one(self) -> None:
        """Kill a node and start it again."""
        host = self.random_host()
        host.kill()
        host.start()
        host.announce()

    def random_host(self):
        """Return any host."""
        return self.rng.choice(list(self.fixture.host_by_name.values()))


class EraTest(VirtualTestCase):
    """Answers are judged by their own era."""

    async def test_answer_of_an_earlier_era_is_dropped(self):
        """A late answer could set a position that is no longer valid."""
        era = StoreEra()
        era.observe(3)
        with self.assertRaises(OutdatedAnswerError):
            era.observe(2)
        self.assertEqual(era.current, 3)

    async def test_wait_ends_with_the_rise(self):
        """A waiting task could sleep through the rise."""
        era = StoreEra()
        waiting = asyncio.create_task(era.wait_past(1))
        await asyncio.sleep(0.01)
        era.observe(1)
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        era.observe(2)
        await asyncio.sleep(0.01)
        self.assertTrue(waiting.done())


class EraHeaderTest(VirtualTestCase):
    """The platform's client reads the era from each answer."""

    def _callTestMethod(self, method) -> None:
        # The client opens real connections, so this test needs real time.
        asyncio.run(method())

    async def test_era_of_answers(self):
        """An answer without a valid era could be taken for a current one."""
        eras = iter(('4', '5', '4', 'x'))

        async def answer(_request: HttpRequest, _) -> HttpReply:
            body = b'{"items": [], "has_more": false, "end_offset": 6}'
            return HttpReply(200, ['Store-Era', next(eras)], body)

        server = HttpServer(Clock(), answer, HttpLimits(), lambda _: None)
        await server.start('127.0.0.1:0')
        port = server._server.sockets[0].getsockname()[1]
        store = PlatformStore(Clock(), f'127.0.0.1:{port}')
        self.assertEqual((await store.newest_policy()).era, 4)
        self.assertEqual((await store.newest_policy()).era, 5)
        for _ in range(2):
            with self.assertRaises(LogError):
                await store.newest_policy()
        self.assertEqual(store.era.current, 5)
        server.close()
