"""Reports that a node puts into its heartbeats, and takes from others'."""

import dataclasses
from collections.abc import Callable

from bergamotmount.admission import Admission
from bergamotmount.forwarding.callgraph import CallGraph
from bergamotmount.forwarding.latencyrouter import LatencyRouter
from bergamotmount.forwarding.poisonrequests import PoisonRequests
from bergamotmount.forwarding.policysource import RoutePolicySource
from bergamotmount.forwarding.policywatch import PolicyWatch
from bergamotmount.messages import Heartbeat, Message
from bergamotmount.threshold import ThresholdController
from bergamotmount.thresholdview import ThresholdView


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReports:
    """Where the reports of a node come from and go to.

    ``pass_on`` sends a heartbeat to the fingers that a sender leaves to this
    node.
    """

    policy_source: RoutePolicySource
    policy_watch: PolicyWatch
    pass_on: Callable[[str], None]
    threshold_controller: ThresholdController
    threshold_view: ThresholdView
    admission: Admission
    router: LatencyRouter
    call_graph: CallGraph
    poison_requests: PoisonRequests

    def fill(self, heartbeat: Heartbeat) -> None:
        """Add the reports of this node to a heartbeat."""
        heartbeat.policy_offset = self.policy_source.version
        heartbeat.evidence = self.policy_source.evidence
        heartbeat.policy_age_ms = self.policy_watch.age_to_relay()
        heartbeat.threshold = self.threshold_controller.threshold()
        heartbeat.thresholds = self.threshold_view.restricted()
        heartbeat.load_permille = self.admission.load_permille
        heartbeat.calls = self.call_graph.calls_to_relay()
        heartbeat.crashes = self.poison_requests.reports_to_relay()

    def learn(self, heartbeat: Heartbeat) -> list[Message]:
        """Use the reports of another node; return what to ask it for."""
        if heartbeat.members:
            sender = heartbeat.members[0]
            if sender.service:
                self.router.record_load(sender.node, heartbeat.load_permille)
            for service, report in heartbeat.thresholds.items():
                self.threshold_view.record_relayed(service, report)
            self.call_graph.learn(heartbeat.calls)
            self.poison_requests.learn(heartbeat.crashes)
            if self.policy_watch.hear(
                heartbeat.policy_offset, heartbeat.policy_age_ms
            ):
                self.pass_on(sender.node)
        self.policy_source.learn_evidence(
            heartbeat.evidence, heartbeat.echoed_ms
        )
        return self.policy_source.fetch_if_behind(heartbeat.policy_offset)
