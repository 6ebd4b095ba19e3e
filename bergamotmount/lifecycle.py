"""Lifecycle of the backend server beside a node, as a state machine.

::

    absent, draining --announce--> warming --end_warmup--> serving
    warming, serving --drain--> draining
    warming, serving, draining --leave--> absent
    warming, serving, draining --expire_lease--> absent

The lease of a server expires if its announcement isn't renewed in time.
"""

import enum
from collections.abc import Callable

from transitions import Machine

from bergamotmount.clock import Clock


class ServerState(enum.StrEnum):
    """State of the backend server as recorded by its node."""

    ABSENT = 'absent'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'


#: States in which new requests are dispatched to the server.
ACCEPTING = frozenset((ServerState.WARMING, ServerState.SERVING))


class ServerLifecycle:
    """State machine of one backend server, with its lease."""

    state: ServerState

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[ServerState], None],
    ) -> None:
        """Start in state absent; call ``on_change`` with each new state."""
        self._clock = clock
        self._on_change = on_change
        self._lease_expiry_ms: float = 0
        self._machine = Machine(
            model=self,
            states=ServerState,
            initial=ServerState.ABSENT,
            auto_transitions=False,
            ignore_invalid_triggers=True,
            after_state_change=self._notify_change,
        )
        self._add_transitions()

    @property
    def is_accepting(self) -> bool:
        """Whether new requests may be dispatched to the server.

        The lease is compared with the clock: after a pause of the process it
        may have expired before the next check of the lease runs.
        """
        return self.state in ACCEPTING and not self._is_lease_over()

    def renew(self, lease_ms: float) -> None:
        """Let the lease end ``lease_ms`` from now."""
        self._lease_expiry_ms = self._clock.now_ms() + lease_ms

    def check_lease(self) -> None:
        """Mark the server as absent if its lease has expired."""
        if self.state is ServerState.ABSENT:
            return
        if self._is_lease_over():
            self.expire_lease()

    def announce(self) -> None:
        """Record that the server has started, and begin its warm-up."""
        self._machine.events['announced'].trigger(self)

    def end_warmup(self) -> None:
        """Record that the slow start is over."""
        self._machine.events['warmup_ended'].trigger(self)

    def drain(self) -> None:
        """Record that the server accepts no new requests."""
        self._machine.events['drained'].trigger(self)

    def leave(self) -> None:
        """Record that the server has stopped."""
        self._machine.events['left'].trigger(self)

    def expire_lease(self) -> None:
        """Record that the lease has expired."""
        self._machine.events['lapsed'].trigger(self)

    def _is_lease_over(self) -> bool:
        return self._clock.now_ms() > self._lease_expiry_ms

    def _add_transitions(self) -> None:
        absent, warming, serving, draining = ServerState
        add = self._machine.add_transition
        add('announced', [absent, draining], warming)
        add('warmup_ended', warming, serving)
        add('drained', [warming, serving], draining)
        add('left', [warming, serving, draining], absent)
        add('lapsed', [warming, serving, draining], absent)

    def _notify_change(self) -> None:
        self._on_change(self.state)
