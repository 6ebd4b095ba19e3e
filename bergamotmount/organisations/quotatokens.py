"""Quota tokens: those that one node holds, and how it gets more.

A request spends a token that the node holds. Only if there is none does it
wait for the owner of the quota; the node then asks for some to hold as well,
as many as its requests of the next moments are likely to need.

Load pattern: an organisation sends many times its quota. Its requests are
refused by the node that they arrive at, which asks the owner a few times a
second, whatever their number. When the owner can't be reached, nodes spend
what they hold and then refuse.
"""

import asyncio
import collections
import dataclasses
import itertools
import math
from collections.abc import Callable, Set

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.messages import QuotaGrant, QuotaRequest
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.quotaowner import TOKEN_LIFETIME_MS
from bergamotmount.organisations.quotaring import QuotaRing
from bergamotmount.outcomes import NotRun
from bergamotmount.reasons import RefusalReason

#: Time after which an owner that hasn't answered is asked again.
ANSWER_TIMEOUT_MS = 60

#: Maximum time for which a request waits for a token.
MAX_WAIT_MS = 130

#: Pause before another node is asked, after one that isn't the owner.
OWNER_CHANGE_PAUSE_MS = 25

#: Time for which requests are refused at once after a token was refused, and
#: after the owner couldn't be reached.
MAX_DENIED_MS = 150
UNREACHABLE_MS = 300

#: Time for which tokens are held in advance, by the rate of requests.
HELD_AHEAD_MS = 2000

#: Time constant of the average of that rate.
RATE_AVERAGE_MS = 3000


class _RequestRate:
    """Average rate of the requests of one organisation at this node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count: float = 0
        self._counted_ms = clock.now_ms()

    def record(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._counted_ms
        self._count = 1 + self._count * math.exp(-elapsed_ms / RATE_AVERAGE_MS)
        self._counted_ms = now_ms

    def expected_in(self, duration_ms: float) -> int:
        """Return the expected number of requests, rounded up."""
        return math.ceil(self._count * duration_ms / RATE_AVERAGE_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """A request to the owner that hasn't been answered."""

    request: QuotaRequest
    sent_ms: float

    @property
    def asked_ahead(self) -> int:
        """Number of tokens asked for in addition to those that are held."""
        return max(self.request.wanted - self.request.held, 0)


class _Wallet:
    """Tokens of one organisation, and the requests that wait for some."""

    def __init__(self, clock: Clock) -> None:
        self.tokens = 0
        self.expires_ms = -math.inf
        self.rate = _RequestRate(clock)
        self.waiters: collections.deque[asyncio.Future] = collections.deque()
        self.ask: _Ask | None = None
        self.late_ask_by_sequence: dict[int, _Ask] = {}
        self.refusal = NotRun(RefusalReason.OVER_QUOTA)
        self.refused_until_ms = -math.inf

    @property
    def wanted(self) -> int:
        """Number of tokens to hold."""
        return self.rate.expected_in(HELD_AHEAD_MS)

    def may_hold(self, now_ms: float) -> int:
        """Return how many tokens it holds if all late answers still arrive."""
        oldest_ms = now_ms - TOKEN_LIFETIME_MS
        for sequence, ask in list(self.late_ask_by_sequence.items()):
            if ask.sent_ms < oldest_ms:
                self.late_ask_by_sequence.pop(sequence)
        late_asks = self.late_ask_by_sequence.values()
        return self.tokens + sum(late.asked_ahead for late in late_asks)

    def refuse_waiters(self, refusal: NotRun, until_ms: float) -> None:
        self.refusal = refusal
        self.refused_until_ms = until_ms
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(refusal)

    def serve_waiters(self) -> None:
        while self.waiters and self.tokens:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.tokens -= 1
                waiter.set_result(None)


class QuotaTokens:
    """Spends the tokens that this node holds, and asks owners for more."""

    def __init__(
        self,
        clock: Clock,
        node: str,
        ring: QuotaRing,
        ask_owner: Callable[[Member, QuotaRequest], None],
    ) -> None:
        """Send requests by ``ask_owner``; grants arrive at :meth:`receive`."""
        self._clock = clock
        self._node = node
        self._ring = ring
        self._ask_owner = ask_owner
        self._wallet_by_name: dict[str, _Wallet] = {}
        self._sequence = itertools.count(1)

    @property
    def held(self) -> int:
        """Number of tokens that this node holds, of all organisations."""
        now_ms = self._clock.now_ms()
        return sum(
            wallet.tokens
            for wallet in self._wallet_by_name.values()
            if now_ms < wallet.expires_ms
        )

    async def spend(self, organisation: Organisation) -> NotRun | None:
        """Spend a token on a request; return why it is refused, if it is."""
        if organisation.quota is None:
            return None
        name = organisation.name
        wallet = self._wallet(name)
        wallet.rate.record()
        now_ms = self._clock.now_ms()
        if now_ms >= wallet.expires_ms:
            wallet.tokens = 0
        if wallet.tokens:
            wallet.tokens -= 1
            if wallet.tokens * 2 < wallet.wanted:
                self._ask(name, wallet)
            return None
        if now_ms < wallet.refused_until_ms:
            if wallet.refusal.reason is RefusalReason.QUOTA_UNAVAILABLE:
                # Without waiting: the next request may find the owner back.
                self._ask(name, wallet)
            return wallet.refusal
        return await self._wait(name, wallet)

    def give_back(self, organisation: Organisation) -> None:
        """Return the token of a request that hasn't run."""
        if organisation.quota is None:
            return
        wallet = self._wallet(organisation.name)
        if self._clock.now_ms() < wallet.expires_ms:
            wallet.tokens += 1

    def receive(self, grant: QuotaGrant) -> None:
        """Process the answer of an owner."""
        wallet = self._wallet_by_name.get(grant.organisation)
        if wallet is None:
            return
        ask = wallet.ask
        if ask is None or ask.request.sequence != grant.sequence:
            self._receive_late(grant, wallet)
            return
        wallet.ask = None
        if not grant.is_owner:
            self._ask_later(grant.organisation, wallet)
            return
        if wallet.refusal.reason is RefusalReason.QUOTA_UNAVAILABLE:
            wallet.refused_until_ms = -math.inf
        self._add_tokens(wallet, grant.tokens, ask.sent_ms)
        wallet.serve_waiters()
        if grant.tokens < ask.request.waiting:
            now_ms = self._clock.now_ms()
            wallet.refuse_waiters(
                NotRun(RefusalReason.OVER_QUOTA, grant.retry_after_ms),
                now_ms + min(grant.retry_after_ms, MAX_DENIED_MS),
            )
        self._ask_if_awaited(grant.organisation, wallet)

    def keep_only(self, names: Set[str]) -> None:
        """Drop the tokens of organisations that the policy doesn't name."""
        for name in self._wallet_by_name.keys() - names:
            if not self._wallet_by_name[name].waiters:
                self._wallet_by_name.pop(name)

    def _receive_late(self, grant: QuotaGrant, wallet: _Wallet) -> None:
        """Take the tokens of an answer that was no longer awaited."""
        ask = wallet.late_ask_by_sequence.pop(grant.sequence, None)
        if ask is not None:
            self._add_tokens(wallet, grant.tokens, ask.sent_ms)
            wallet.serve_waiters()

    def _wallet(self, name: str) -> _Wallet:
        wallet = self._wallet_by_name.get(name)
        if wallet is None:
            wallet = _Wallet(self._clock)
            self._wallet_by_name[name] = wallet
        return wallet

    def _add_tokens(
        self, wallet: _Wallet, tokens: int, asked_ms: float
    ) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= wallet.expires_ms:
            wallet.tokens = 0
        wallet.expires_ms = max(wallet.expires_ms, asked_ms + TOKEN_LIFETIME_MS)
        if now_ms < wallet.expires_ms:
            wallet.tokens += tokens

    async def _wait(self, name: str, wallet: _Wallet) -> NotRun | None:
        waiter = asyncio.get_running_loop().create_future()
        wallet.waiters.append(waiter)
        self._ask(name, wallet)
        try:
            async with self._clock.timeout(MAX_WAIT_MS):
                return await waiter
        except TimeoutError:
            refusal = NotRun(RefusalReason.QUOTA_UNAVAILABLE)
            wallet.refuse_waiters(
                refusal, self._clock.now_ms() + UNREACHABLE_MS
            )
            return refusal
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                wallet.tokens += waiter.result() is None
            raise
        finally:
            if waiter in wallet.waiters:
                wallet.waiters.remove(waiter)

    def _ask_later(self, name: str, wallet: _Wallet) -> None:
        """Ask again after a pause: the owner isn't known, or has changed."""
        self._clock.call_later(
            OWNER_CHANGE_PAUSE_MS, self._ask_if_awaited, name, wallet
        )

    def _ask_if_awaited(self, name: str, wallet: _Wallet) -> None:
        if wallet.waiters:
            self._ask(name, wallet)

    def _ask(self, name: str, wallet: _Wallet) -> None:
        """Ask the owner, unless it has been asked and may still answer."""
        if wallet.ask is not None:
            return
        owner = self._ring.owner_of(name)
        if owner is None:
            if wallet.waiters:
                self._ask_later(name, wallet)
            return
        request = QuotaRequest(
            next(self._sequence),
            name,
            self._node,
            len(wallet.waiters),
            wallet.wanted,
            wallet.may_hold(self._clock.now_ms()),
        )
        wallet.ask = _Ask(request, self._clock.now_ms())
        self._clock.call_later(
            ANSWER_TIMEOUT_MS, self._give_up, name, wallet, wallet.ask
        )
        self._ask_owner(owner, request)

    def _give_up(self, name: str, wallet: _Wallet, ask: _Ask) -> None:
        if wallet.ask is ask:
            wallet.ask = None
            wallet.late_ask_by_sequence[ask.request.sequence] = ask
            self._ask_if_awaited(name, wallet)
