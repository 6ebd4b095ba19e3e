"""Life of the backend server beside a node, as a state machine.

::

    absent --announce--> warming --warmed--> serving
    warming, serving --drain--> draining --leave--> absent
    any --lapse--> absent

A server whose announcement isn't renewed in time lapses.
"""

import enum
from collections.abc import Callable

from transitions import Machine

from bergamotmount.clock import Clock


class ServerState(enum.StrEnum):
    """State of the backend server as its node sees it."""

    ABSENT = 'absent'
    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'


#: States in which new work is dispatched to the server.
ACCEPTING = frozenset((ServerState.WARMING, ServerState.SERVING))


class ServerLifecycle:
    """State machine of one backend server, with the lease it renews."""

    state: ServerState

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[ServerState], None],
    ) -> None:
        """Start absent; ``on_change`` is called with each new state."""
        self._clock = clock
        self._on_change = on_change
        self._lease_until_ms: float = 0
        self._machine = Machine(
            model=self,
            states=ServerState,
            initial=ServerState.ABSENT,
            auto_transitions=False,
            ignore_invalid_triggers=True,
            after_state_change=self._changed,
        )
        self._add_transitions()

    @property
    def is_accepting(self) -> bool:
        """Whether new work may be dispatched to the server."""
        return self.state in ACCEPTING

    def renew(self, lease_ms: float) -> None:
        """Extend the lease from now on."""
        self._lease_until_ms = self._clock.now_ms() + lease_ms

    def check_lease(self) -> None:
        """Let the server lapse when its lease is over."""
        if self.state is ServerState.ABSENT:
            return
        if self._clock.now_ms() > self._lease_until_ms:
            self.lapse()

    def announce(self) -> None:
        """The server came up; it gets work slowly at first."""
        self._machine.events['announced'].trigger(self)

    def warmed(self) -> None:
        """The slow start is over."""
        self._machine.events['warmup_ended'].trigger(self)

    def drain(self) -> None:
        """The server wants no new work."""
        self._machine.events['drained'].trigger(self)

    def leave(self) -> None:
        """The server has stopped."""
        self._machine.events['left'].trigger(self)

    def lapse(self) -> None:
        """The lease ran out."""
        self._machine.events['lapsed'].trigger(self)

    def _add_transitions(self) -> None:
        absent, warming, serving, draining = ServerState
        add = self._machine.add_transition
        add('announced', [absent, draining], warming)
        add('warmup_ended', warming, serving)
        add('drained', [warming, serving], draining)
        add('left', [warming, serving, draining], absent)
        add('lapsed', [warming, serving, draining], absent)

    def _changed(self) -> None:
        self._on_change(self.state)
