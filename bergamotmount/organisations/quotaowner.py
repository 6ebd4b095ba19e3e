"""Quota owner: grants the tokens of the quotas that this node owns.

The bound on the requests of an organisation in a window has two parts. The
tokens that are minted within the window are the quota itself. Tokens that
nodes hold for requests to come may have been minted before; their number is
bounded by what the operators tolerate beyond the quota. Tokens that are held
beyond that take the place of tokens in the bucket. Some of what is tolerated is
added to the burst, because an organisation of a few requests a second sends
more than its quota by chance. The rest is left for the moment in which nodes
disagree on the owner.

Load pattern: the owner ends and another node takes over, or the owner was
paused and another one has granted in the meantime. The new one starts without
a burst, and grants no tokens to hold until those of the earlier owner have
expired.
"""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from bergamotmount.clock import Clock
from bergamotmount.member import Member
from bergamotmount.messages import QuotaGrant, QuotaRequest
from bergamotmount.organisations.organisation import Organisation, Quota
from bergamotmount.organisations.quotaring import QuotaRing
from bergamotmount.organisations.tokenbucket import TokenBucket

#: Time after which a node discards tokens that it holds, from its last request
#: to the owner on.
TOKEN_LIFETIME_MS = 5000

#: Additional time for which the owner counts them, for clocks that run at
#: different speeds.
LIFETIME_MARGIN_MS = 500

#: Part of the tolerated excess that nodes may hold, and part of the tolerated
#: number of requests that is added to the burst.
HELD_SHARE = 0.4
BURST_SHARE = 0.4

#: Share of the burst that is kept for requests that need a token at once, and
#: share of it that may be held.
RESERVED_SHARE = 0.25
HELD_BURST_SHARE = 0.7

#: Time between two checks after which this process was suspended.
SUSPENDED_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaOptions:
    """What the operators tolerate beyond a quota, in any window.

    ``overage`` is a share of the requests allowed in the window, ``slack`` a
    number of requests.
    """

    window_ms: float = 5000
    overage: float = 0
    slack: float = 0

    def tolerated(self, quota: Quota) -> float:
        """Return the number of requests beyond a quota in a window."""
        return self.overage * quota.allowed_in(self.window_ms) + self.slack


@dataclasses.dataclass(slots=True)
class _Holding:
    """Tokens that a node holds, and when it asked for them."""

    tokens: int
    reported_ms: float


class _Account:
    """Bucket of one organisation, and the tokens that nodes hold."""

    def __init__(self, clock: Clock, organisation: Organisation) -> None:
        self.bucket = TokenBucket(clock, organisation.quota)
        self.holding_by_node: dict[str, _Holding] = {}
        self.opened_ms = clock.now_ms()

    def held_by_others(self, node: str, now_ms: float) -> int:
        """Return the number of tokens that nodes other than one hold."""
        expired_ms = now_ms - TOKEN_LIFETIME_MS - LIFETIME_MARGIN_MS
        held = 0
        for holder, holding in list(self.holding_by_node.items()):
            if holding.reported_ms < expired_ms:
                self.holding_by_node.pop(holder)
            elif holder != node:
                held += holding.tokens
        return held


class QuotaOwner:
    """Answers requests for tokens of the quotas that this node owns.

    ``granted`` counts the tokens granted since the start.
    """

    def __init__(
        self,
        clock: Clock,
        ring: QuotaRing,
        options: QuotaOptions,
        find: Callable[[str], Organisation | None],
    ) -> None:
        """Look up organisations of the active policy by ``find``."""
        self._clock = clock
        self._ring = ring
        self._options = options
        self._find = find
        self.granted = 0
        self._account_by_name: dict[str, _Account] = {}
        self._owned: dict[str, Organisation] = {}
        self._owners: Sequence[Member] = ()
        self._known: Mapping[str, Organisation] = {}
        self._checked_ms = clock.now_ms()

    def check(self, organisations: Mapping[str, Organisation]) -> None:
        """Follow changes of members and of the policy; call regularly."""
        self._reset_after_suspension()
        self._checked_ms = self._clock.now_ms()
        owners = self._ring.owners
        if owners is not self._owners or organisations is not self._known:
            self._owners = owners
            self._known = organisations
            self._update_owned()
        for organisation in self._owned.values():
            self._account_of(organisation).bucket.refill(self._ring.share)

    def answer(self, request: QuotaRequest) -> QuotaGrant:
        """Return the tokens granted for a request, maybe none."""
        self._reset_after_suspension()
        organisation = self._find(request.organisation)
        if (
            organisation is None
            or organisation.quota is None
            or not self._ring.is_local(organisation.name)
        ):
            return QuotaGrant(
                request.sequence, request.organisation, 0, is_owner=False
            )
        account = self._account_of(organisation)
        account.bucket.refill(self._ring.share)
        granted = account.bucket.take(request.waiting)
        ahead = 0
        retry_after_ms: float = 0
        if granted < request.waiting:
            retry_after_ms = account.bucket.retry_after_ms(
                request.waiting - granted
            )
        else:
            ahead = self._grant_ahead(account, organisation, request)
        account.holding_by_node[request.node] = _Holding(
            request.held + ahead, self._clock.now_ms()
        )
        self.granted += granted + ahead
        return QuotaGrant(
            request.sequence,
            organisation.name,
            granted + ahead,
            int(retry_after_ms),
        )

    def _reset_after_suspension(self) -> None:
        """Close all accounts if another node may have granted meanwhile."""
        suspended_ms = self._clock.now_ms() - self._checked_ms
        if suspended_ms > SUSPENDED_MS:
            self._account_by_name.clear()
            self._owners = ()

    def _update_owned(self) -> None:
        """Close the accounts of quotas that this node no longer owns."""
        self._owned = {
            name: organisation
            for name, organisation in self._known.items()
            if organisation.quota and self._ring.is_local(name)
        }
        for name in self._account_by_name.keys() - self._owned.keys():
            self._account_by_name.pop(name)

    def _account_of(self, organisation: Organisation) -> _Account:
        account = self._account_by_name.get(organisation.name)
        if account is None:
            account = _Account(self._clock, organisation)
            self._account_by_name[organisation.name] = account
        quota = organisation.quota
        extra = self._options.slack * BURST_SHARE
        held = account.held_by_others('', self._clock.now_ms())
        beyond = max(held - self._tolerated_held(quota), 0)
        account.bucket.quota = dataclasses.replace(
            quota, burst=max(quota.burst + extra - beyond, 0)
        )
        return account

    def _grant_ahead(
        self,
        account: _Account,
        organisation: Organisation,
        request: QuotaRequest,
    ) -> int:
        """Return the number of tokens granted for requests to come."""
        now_ms = self._clock.now_ms()
        if now_ms - account.opened_ms < TOKEN_LIFETIME_MS + LIFETIME_MARGIN_MS:
            return 0
        quota = organisation.quota
        held = account.held_by_others(request.node, now_ms) + request.held
        may_be_held = (
            self._tolerated_held(quota) + quota.burst * HELD_BURST_SHARE
        )
        room = int(may_be_held) - held
        return account.bucket.take(
            min(request.wanted - request.held, room),
            reserve=quota.burst * RESERVED_SHARE,
        )

    def _tolerated_held(self, quota: Quota) -> float:
        """Return how many tokens may be held in addition to the bucket."""
        return self._options.tolerated(quota) * HELD_SHARE
