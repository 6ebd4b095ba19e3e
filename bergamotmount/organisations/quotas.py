"""Quotas of all organisations at one node: as a spender and as an owner."""

from collections.abc import Callable, Mapping

from bergamotmount.clock import Clock
from bergamotmount.linkpool import LinkPool
from bergamotmount.member import Member
from bergamotmount.membership import Members
from bergamotmount.messages import Message, QuotaGrant, QuotaRequest
from bergamotmount.organisations.organisation import Organisation
from bergamotmount.organisations.quotaowner import QuotaOptions, QuotaOwner
from bergamotmount.organisations.quotaring import QuotaRing
from bergamotmount.organisations.quotatokens import QuotaTokens
from bergamotmount.outcomes import NotRun


class Quotas:
    """Keeps requests within the quotas, together with the other nodes."""

    def __init__(
        self,
        clock: Clock,
        members: Members,
        is_directory_read: Callable[[], bool],
        links: LinkPool,
        options: QuotaOptions,
        organisations: Callable[[], Mapping[str, Organisation]],
    ) -> None:
        """Read the ``organisations`` of the active policy, by name."""
        self._members = members
        self._links = links
        self._organisations = organisations
        self._known: Mapping[str, Organisation] = {}
        self._ring = QuotaRing(members, is_directory_read)
        self._owner = QuotaOwner(clock, self._ring, options, self._find)
        self._tokens = QuotaTokens(
            clock, members.local_node, self._ring, self._ask
        )

    async def spend(self, organisation: Organisation | None) -> NotRun | None:
        """Spend a token on a request; return why it is refused, if it is."""
        if organisation is None or organisation.quota is None:
            return None
        return await self._tokens.spend(organisation)

    def give_back(self, organisation: Organisation | None) -> None:
        """Return the token of a request that hasn't run and won't."""
        if organisation is not None:
            self._tokens.give_back(organisation)

    @property
    def tokens_held(self) -> int:
        """Number of tokens that this node holds."""
        return self._tokens.held

    @property
    def tokens_granted(self) -> int:
        """Number of tokens that this node has granted as an owner."""
        return self._owner.granted

    def check(self) -> None:
        """Follow changes of members and of the policy; call regularly."""
        organisations = self._organisations()
        self._owner.check(organisations)
        if organisations is not self._known:
            self._known = organisations
            self._tokens.keep_only(organisations.keys())

    def receive(self, message: QuotaRequest | QuotaGrant) -> list[Message]:
        """Process a message of another node; return the replies to it."""
        match message:
            case QuotaRequest():
                return [self._owner.answer(message)]
            case QuotaGrant():
                self._tokens.receive(message)
        return []

    def _find(self, name: str) -> Organisation | None:
        return self._organisations().get(name)

    def _ask(self, owner: Member, request: QuotaRequest) -> None:
        if owner.node == self._members.local_node:
            self._tokens.receive(self._owner.answer(request))
        else:
            self._links.send(owner.address, request)
