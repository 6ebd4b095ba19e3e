"""Quarantine at a gateway: keeps poison requests from its server.

It applies the table of :mod:`~bergamotmount.forwarding.poisonrequests` to
calls, and records in it how they ended::

    refusal = quarantine.refusal_of(call)
    if refusal is None:
        ...  # send the call
"""

import random
from collections.abc import Callable

from bergamotmount.clock import Clock
from bergamotmount.decisionlog import DecisionLog
from bergamotmount.forwarding.poisonrequests import (
    PoisonRequests,
    forwarded_fingerprint,
)
from bergamotmount.messages import Call
from bergamotmount.outcomes import NotRun
from bergamotmount.reasons import RefusalReason
from bergamotmount.reports import CrashReport


class Quarantine:
    """Refuses calls under which several servers have crashed."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        send_reports: Callable[[], None],
        may_probe: Callable[[], bool],
    ) -> None:
        """Start without crashes.

        ``send_reports`` is called when other nodes should learn of a crash at
        once. ``may_probe`` tells whether this node is the one that probes the
        quarantined requests of its service.
        """
        self.poison_requests = PoisonRequests(clock, rng, send_reports)
        self._may_probe = may_probe
        self.decisions = DecisionLog(clock, 'quarantine')

    def refusal_of(self, call: Call) -> NotRun | None:
        """Return the refusal of a poison request, ``None`` if it may be sent.

        A call that may be sent although it is quarantined is a probe.
        """
        if self.poison_requests.is_empty:
            return None
        fingerprint = fingerprint_of(call)
        if not self.poison_requests.is_quarantined(fingerprint):
            return None
        if self._may_probe() and self.poison_requests.try_probe(fingerprint):
            self.decisions.write(
                'probe',
                request=call.root,
                fingerprint=f'{fingerprint:016x}',
                crashes=self.poison_requests.crashes(fingerprint),
            )
            return None
        return NotRun(
            RefusalReason.QUARANTINED,
            self.poison_requests.retry_after_ms(fingerprint),
        )

    def record_crash(self, call: Call, server: str) -> None:
        """Record that a server crashed while it ran a call."""
        self.poison_requests.record_crash(fingerprint_of(call), server)

    def record_success(self, call: Call) -> None:
        """Record that the server ran a call with success."""
        if not self.poison_requests.is_empty:
            self.poison_requests.record_success(fingerprint_of(call))

    def reports_on(self, call: Call) -> list[CrashReport]:
        """Return what other nodes should know of a call."""
        if self.poison_requests.is_empty:
            return []
        return self.poison_requests.reports_on(fingerprint_of(call))


def fingerprint_of(call: Call) -> int:
    """Return the fingerprint of a forwarded call."""
    return forwarded_fingerprint(
        call.method, call.operation, call.target, call.body
    )
