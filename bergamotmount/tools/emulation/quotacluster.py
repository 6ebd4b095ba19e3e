"""Nodes that share quotas, on a network with cuts, pauses and restarts."""

import asyncio
import bisect
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from bergamotmount.clock import LoopClock
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.messages import QuotaGrant, QuotaRequest
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.quotaowner import QuotaOptions, QuotaOwner
from bergamotmount.organisations.quotaring import QuotaRing
from bergamotmount.organisations.quotatokens import QuotaTokens
from bergamotmount.outcomes import NotRun
from bergamotmount.reasons import RefusalReason

LATENCY_S = 0.001
CHECK_S = 0.2
DOMAINS = 4

#: Range of the time after which a node suspects one that it can't reach.
DETECTION_S = (1.5, 2.5)

OPTIONS = QuotaOptions(window_ms=5000, overage=0.1, slack=20)
WINDOW_S = 5


class Spender(Protocol):
    """What the requests of organisations at a node need."""

    async def spend(self, organisation: Organisation) -> NotRun | None:
        """Return why a request is refused, ``None`` if it isn't."""


class QuotaNode:
    """One node: its view of the members, as a spender and as an owner."""

    def __init__(self, cluster: 'QuotaCluster', name: str) -> None:
        """Start as a member of ``cluster``."""
        self.cluster = cluster
        self.name = name
        self.incarnation = 0
        self.paused_until_s: float = 0
        self.side = ''
        self.start()

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped."""
        return asyncio.get_running_loop().time() < self.paused_until_s

    def start(self) -> None:
        """Start anew, knowing all members but none of the quotas."""
        self.incarnation += 1
        self.clock = LoopClock()
        local = self.cluster.member(self.name, self.incarnation)
        self.members = Members(self.clock, local)
        self.members.learn(self.cluster.member(each) for each in self.names())
        self.ring = QuotaRing(self.members, lambda: True)
        self.owner = QuotaOwner(
            self.clock, self.ring, OPTIONS, self.cluster.organisations.get
        )
        self.tokens = QuotaTokens(self.clock, self.name, self.ring, self.ask)
        self.spender: Spender = self.cluster.make_spender(self)

    def names(self) -> list[str]:
        """Return the names of the other nodes."""
        return [name for name in self.cluster.names if name != self.name]

    def ask(self, owner: Member, request: QuotaRequest) -> None:
        """Send a request to an owner."""
        self.cluster.deliver(self, owner.node, request)

    def check(self) -> None:
        """Follow changes of the members."""
        if not self.is_paused:
            self.owner.check(self.cluster.organisations)


@dataclasses.dataclass(slots=True)
class Outcomes:
    """When requests of one organisation ran, and how others were refused."""

    ran_s: list[float] = dataclasses.field(default_factory=list)
    over_quota: int = 0
    unavailable: int = 0

    def most_in_window(self) -> int:
        """Return the largest number of runs in any window."""
        return max(
            (
                index + 1 - bisect.bisect_left(self.ran_s, ran_s - WINDOW_S)
                for index, ran_s in enumerate(self.ran_s)
            ),
            default=0,
        )


def _spend_tokens(node: QuotaNode) -> Spender:
    return node.tokens


class QuotaCluster:
    """Nodes with the same policy."""

    def __init__(
        self,
        size: int,
        organisations: list[Organisation],
        seed: int,
        make_spender: Callable[[QuotaNode], Spender] = _spend_tokens,
    ) -> None:
        """Start ``size`` nodes, each with a spender of its own."""
        self.make_spender = make_spender
        self.rng = random.Random(seed)
        self.names = [f'n-{number}' for number in range(size)]
        self.organisations = {each.name: each for each in organisations}
        self.outcomes = {each.name: Outcomes() for each in organisations}
        self.incarnation_by_name = dict.fromkeys(self.names, 1)
        self.messages = 0
        self.latency_s = LATENCY_S
        self.node_by_name: dict[str, QuotaNode] = {}
        for name in self.names:
            self.node_by_name[name] = QuotaNode(self, name)
        self._tasks: set[asyncio.Task] = set()

    def member(self, name: str, incarnation: int = 1) -> Member:
        """Return a node as a member."""
        incarnation = max(incarnation, self.incarnation_by_name[name])
        return Member(name, name, 'r', self.domain_of(name), incarnation)

    def domain_of(self, name: str) -> str:
        """Return the failure domain of a node, one of four."""
        return f'fd-{self.names.index(name) % DOMAINS}'

    def start(self) -> None:
        """Start the regular checks."""
        self.run(self._check_regularly())

    def run(self, coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def allowed(self, name: str) -> float:
        """Return the bound on the requests of an organisation in a window."""
        quota = self.organisations[name].quota
        allowed = quota.allowed_in(OPTIONS.window_ms)
        return allowed * (1 + OPTIONS.overage) + OPTIONS.slack

    def deliver(self, sender: QuotaNode, target: str, message) -> None:
        """Deliver a message after the latency of the network."""
        self.messages += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self.latency_s, self._arrive, sender, target, message)

    async def send(self, node: QuotaNode, name: str) -> None:
        """Send a request of an organisation to a node."""
        if node.is_paused:
            return
        refusal = await node.spender.spend(self.organisations[name])
        outcomes = self.outcomes[name]
        match refusal and refusal.reason:
            case None:
                outcomes.ran_s.append(asyncio.get_running_loop().time())
            case RefusalReason.OVER_QUOTA:
                outcomes.over_quota += 1
            case _:
                outcomes.unavailable += 1

    async def send_at_rate(
        self, name: str, nodes: list[str], rate_per_s: float
    ) -> None:
        """Send requests to random ones of these nodes."""
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            node = self.node_by_name[self.rng.choice(nodes)]
            self.run(self.send(node, name))

    async def cut(self, side: list[str], duration_s: float) -> None:
        """Cut some nodes off from the others for a time."""
        for name in side:
            self.node_by_name[name].side = f'cut-{id(side)}'
        detections = [
            self._detect(node) for node in list(self.node_by_name.values())
        ]
        await asyncio.gather(asyncio.sleep(duration_s), *detections)
        for name in side:
            self.node_by_name[name].side = ''
        for node in self.node_by_name.values():
            await asyncio.sleep(self.rng.uniform(0, 0.5) / len(self.names))
            self._see_all_alive(node)

    async def restart(self, name: str, duration_s: float) -> None:
        """End a node and start it again after a time."""
        node = self.node_by_name[name]
        node.paused_until_s = asyncio.get_running_loop().time() + duration_s
        await asyncio.sleep(duration_s)
        node.start()
        self.incarnation_by_name[name] = node.incarnation

    def pause(self, name: str, duration_s: float) -> None:
        """Stop a node's execution for a time."""
        node = self.node_by_name[name]
        node.paused_until_s = asyncio.get_running_loop().time() + duration_s

    async def _detect(self, node: QuotaNode) -> None:
        await asyncio.sleep(self.rng.uniform(*DETECTION_S))
        for other in self.node_by_name.values():
            if other.side != node.side:
                node.members.suspect(other.name)
        await asyncio.sleep(1.5)
        for other in self.node_by_name.values():
            if other.side != node.side:
                node.members.mark_gone(other.name)

    def _see_all_alive(self, node: QuotaNode) -> None:
        for name in node.names():
            known = node.members.member_by_node[name]
            if known.state is not MemberState.SERVING:
                node.members.merge(
                    dataclasses.replace(
                        known,
                        version=known.version + 1,
                        state=MemberState.SERVING,
                    )
                )

    def _arrive(self, sender: QuotaNode, target: str, message) -> None:
        node = self.node_by_name[target]
        if node.side != sender.side:
            return
        if node.is_paused:
            # It is read when the process goes on.
            asyncio.get_running_loop().call_at(
                node.paused_until_s + self.latency_s,
                self._arrive,
                sender,
                target,
                message,
            )
            return
        match message:
            case QuotaRequest():
                self.deliver(node, sender.name, node.owner.answer(message))
            case QuotaGrant():
                node.tokens.receive(message)

    async def _check_regularly(self) -> None:
        while True:
            for node in self.node_by_name.values():
                node.check()
            await asyncio.sleep(CHECK_S)
