"""The backend server on this host: its announcements, lease and state.

What the server says of itself is ordered, put into force at the gateway at
once, and told to all other nodes.
"""

from collections.abc import Callable

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.forwarding.announcements import (
    Announcement,
    AnnouncementOrder,
    Verdict,
)
from bergamotmount.forwarding.gateway import Gateway, ServerProcess
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.log import part_logger
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.reasons import RefusalReason

_log = part_logger('server')


class OwnServer:
    """Keeps the state of the server beside this node."""

    def __init__(
        self,
        clock: Clock,
        lease_ms: float,
        members: Members,
        spread: Callable[[Member], None],
    ) -> None:
        """Know no server; tell others by ``spread``.

        A server that isn't announced for ``lease_ms`` counts as gone.
        """
        self.lifecycle = ServerLifecycle(clock, self._on_state)
        self._clock = clock
        self._lease_ms = lease_ms
        self._members = members
        self._spread = spread
        self._order = AnnouncementOrder()
        self._warm_until_ms: float = 0

    def guard(self, gateway: Gateway, admission: Admission) -> None:
        """Put announcements into force at these two from now on."""
        self._gateway = gateway
        self._admission = admission

    def announce(self, news: Announcement) -> Verdict:
        """Take an announcement and return what it changed."""
        verdict = self._order.take(news)
        match verdict:
            case Verdict.DRAINING:
                self.lifecycle.drain()
            case Verdict.STARTED:
                self._use(news)
            case Verdict.RENEWED:
                self._renew(news)
        if verdict in {Verdict.DRAINING, Verdict.STARTED}:
            _log.info(
                'Server {} of {}: {}, born {}, sequence {}.',
                news.instance,
                news.service,
                verdict,
                news.born_ms,
                news.sequence,
            )
        return verdict

    def depart(self, instance: str) -> None:
        """Take the server's word that it leaves."""
        if self._order.depart(instance):
            _log.info('Server {} leaves.', instance)
            self.lifecycle.drain()

    def check(self) -> None:
        """Let the lease and the slow start end; to be called regularly."""
        self.lifecycle.check_lease()
        is_warming = self.lifecycle.state is ServerState.WARMING
        if is_warming and self._clock.now_ms() >= self._warm_until_ms:
            self.lifecycle.end_warmup()
        self._admission.admit_waiting()

    def _use(self, news: Announcement) -> None:
        self._gateway.attach_process(
            ServerProcess(news.instance, news.service, news.address),
        )
        self._admission.limit.update_slots(news.slots, news.cold_ms)
        self._warm_until_ms = self._clock.now_ms() + news.cold_ms
        self.lifecycle.renew(self._lease_ms)
        member = self._members.announce(
            MemberState.WARMING,
            news.service,
            news.slots,
        )
        self._spread(member)
        self.lifecycle.announce()
        self._admission.admit_waiting()

    def _renew(self, news: Announcement) -> None:
        if self.lifecycle.state is ServerState.ABSENT:
            self._use(news)
        self.lifecycle.renew(self._lease_ms)

    def _on_state(self, state: ServerState) -> None:
        _log.info('Server state: {}.', state)
        match state:
            case ServerState.SERVING:
                self._tell(MemberState.SERVING)
            case ServerState.DRAINING:
                self._admission.refuse_waiting(RefusalReason.DRAINING)
                self._tell(MemberState.DRAINING)
            case ServerState.ABSENT:
                self._admission.refuse_waiting(RefusalReason.NOT_SERVING)
                self._tell(MemberState.DRAINING)

    def _tell(self, state: MemberState) -> None:
        slots = self._admission.limit.slots
        self._spread(self._members.announce(state, slots=slots))
