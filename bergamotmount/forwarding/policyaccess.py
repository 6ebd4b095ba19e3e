"""Policy access: the active policy, its freshness, and the check of keys."""

from collections.abc import Callable

from bergamotmount.forwarding.callercheck import CallerCheck
from bergamotmount.forwarding.options import ForwardingOptions, ForwardingPorts
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.forwarding.policyverifier import PolicyVerifier
from bergamotmount.forwarding.storesettlement import StoreSettlement
from bergamotmount.organisations.freshness import PolicyFreshness


class PolicyAccess:
    """What a node needs to apply the newest policy to requests."""

    def __init__(
        self,
        options: ForwardingOptions,
        ports: ForwardingPorts,
        on_update: Callable[[], None],
    ) -> None:
        """Start without a policy; call ``on_update`` after each new version."""
        clock, rng = ports.clock, ports.rng
        self.freshness = PolicyFreshness(clock, options.policy_lease_ms)
        self.settlement = StoreSettlement(clock, options.is_first_start)
        self.source = RoutePolicySource(
            clock,
            ports.store,
            ports.parser,
            rng,
            on_update,
            self.freshness,
            self.settlement,
        )
        self.verifier = PolicyVerifier(clock, self.source, self.freshness, rng)
        self.caller_check = CallerCheck(options.header_names, self.freshness)
