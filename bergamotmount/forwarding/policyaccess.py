"""Policy access: the active policy, its freshness, and the check of keys."""

from collections.abc import Callable

from bergamotmount.forwarding.callercheck import CallerCheck
from bergamotmount.forwarding.options import ForwardingOptions, ForwardingPorts
from bergamotmount.forwarding.policysource import (
    PolicySourceDependencies,
    RoutePolicySource,
)
from bergamotmount.forwarding.policyverifier import PolicyVerifier
from bergamotmount.forwarding.policywatch import PolicyTimes, PolicyWatch
from bergamotmount.forwarding.repeatingstore import RepeatingStore
from bergamotmount.forwarding.storesettlement import StoreSettlement
from bergamotmount.organisations.freshness import PolicyFreshness


class PolicyAccess:
    """What a node needs to apply the newest policy to requests."""

    def __init__(
        self,
        options: ForwardingOptions,
        ports: ForwardingPorts,
        on_update: Callable[[], None],
        on_check: Callable[[], None],
    ) -> None:
        """Start without a policy; call ``on_update`` after each new version.

        ``on_check`` is called when the store was read to check the version.
        """
        clock, rng = ports.clock, ports.rng
        times = PolicyTimes.within(options.policy_apply_ms)
        self.store = RepeatingStore(clock, ports.store, times.silence_ms)
        self.freshness = PolicyFreshness(clock, options.policy_lease_ms)
        self.settlement = StoreSettlement(clock, options.is_first_start)
        self.source = RoutePolicySource(
            clock,
            PolicySourceDependencies(
                self.store,
                ports.parser,
                on_update,
                on_check,
                self.freshness,
                self.settlement,
            ),
            rng,
            times.silence_ms,
        )
        self.watch = PolicyWatch(clock, self.source, times, rng)
        self.verifier = PolicyVerifier(clock, self.source, self.freshness, rng)
        self.caller_check = CallerCheck(options.header_names, self.freshness)
