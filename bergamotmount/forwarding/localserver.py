"""The backend server on this host: its announcements, lease and state.

Outdated announcements are dropped. Others are applied to the gateway
immediately, and state changes are disseminated to all other nodes.
"""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotmount.admission import Admission
from bergamotmount.clock import Clock
from bergamotmount.forwarding.announcements import (
    MAX_ANNOUNCEMENT_DELAY_MS,
    Announcement,
    AnnouncementEffect,
    AnnouncementOrder,
)
from bergamotmount.forwarding.gateway import Gateway, ServerProcess
from bergamotmount.forwarding.healthcheck import Health
from bergamotmount.lifecycle import ServerLifecycle, ServerState
from bergamotmount.log import part_logger
from bergamotmount.member import Member, MemberState
from bergamotmount.membership import Members
from bergamotmount.reasons import RefusalReason

#: Interval at which a server that doesn't tell its health is asked again.
RECHECK_INTERVAL_MS = 200

_log = part_logger('server')


#: Returns the health of the server that made an announcement.
HealthCheck = Callable[[Announcement], Awaitable[Health | None]]


class LocalServer:
    """Tracks the state of the backend server beside this node."""

    def __init__(
        self,
        clock: Clock,
        lease_ms: float,
        members: Members,
        disseminate: Callable[[Member], None],
        check_health: HealthCheck,
    ) -> None:
        """Start without a server; pass member updates to ``disseminate``.

        A server that isn't announced for ``lease_ms`` counts as absent.
        ``check_health`` asks one whose announcement is no evidence.
        """
        self.lifecycle = ServerLifecycle(clock, self._on_state)
        self._clock = clock
        self._lease_ms = lease_ms
        self._members = members
        self._disseminate = disseminate
        self._announcement_order = AnnouncementOrder(clock)
        self._warm_until_ms: float = 0
        self._check_health = check_health
        self._confirm_until_ms: float = 0
        self._confirmed: tuple[str, int] | None = None
        self._confirming: asyncio.Task | None = None
        self._is_stopping = False

    def attach(self, gateway: Gateway, admission: Admission) -> None:
        """Apply announcements to this gateway and admission from now on."""
        self._gateway = gateway
        self._admission = admission

    def require_confirmation(self) -> None:
        """Check the health of servers before they get requests.

        A node that was restarted doesn't know that a server had announced its
        departure, and what it receives first may be delayed announcements from
        before. Only the server's own answer to a check is newer, until no such
        announcement can be on the way any more.
        """
        self._confirm_until_ms = (
            self._clock.now_ms() + MAX_ANNOUNCEMENT_DELAY_MS
        )

    def announce(self, announcement: Announcement) -> AnnouncementEffect:
        """Apply an announcement and return its effect."""
        effect = self._announcement_order.apply(announcement)
        match effect:
            case AnnouncementEffect.DRAINING:
                self.lifecycle.drain()
            case AnnouncementEffect.RETURNED:
                self._start_confirming(announcement)
            case AnnouncementEffect.STARTED | AnnouncementEffect.RENEWED if (
                self._must_confirm(announcement)
            ):
                self._start_confirming(announcement)
            case AnnouncementEffect.STARTED:
                self._register(announcement)
            case AnnouncementEffect.RENEWED:
                self._renew(announcement)
        if effect not in {AnnouncementEffect.STALE, AnnouncementEffect.RENEWED}:
            _log.info(
                'Server {} of service {}: {}, born {}, sequence {}.',
                announcement.instance,
                announcement.service,
                effect,
                announcement.process_start_ms,
                announcement.sequence,
            )
        return effect

    def depart(self, instance: str) -> None:
        """Drain the server if the instance that departs is the current one.

        The departure may be late, and of an earlier process.
        """
        is_current = self._announcement_order.mark_departed(instance)
        _log.info('Departure of {}: current {}.', instance, is_current)
        if is_current:
            self.lifecycle.drain()

    def leave(self, instance: str) -> None:
        """Drain the server, which said in a response that it is leaving."""
        if self._announcement_order.mark_left(instance):
            _log.info('Server {} is leaving.', instance)
            self.lifecycle.drain()

    def stop(self) -> None:
        """Drain the server for good, as this node stops."""
        self._is_stopping = True
        self.lifecycle.drain()

    def check(self) -> None:
        """Expire the lease and end the slow start; call regularly."""
        self.lifecycle.check_lease()
        is_warming = self.lifecycle.state is ServerState.WARMING
        if is_warming and self._clock.now_ms() >= self._warm_until_ms:
            self.lifecycle.end_warmup()
        self._admission.admit_waiting()

    def _must_confirm(self, announcement: Announcement) -> bool:
        is_confirmed = announcement.process == self._confirmed
        return (
            not is_confirmed and self._clock.now_ms() < self._confirm_until_ms
        )

    def _start_confirming(self, announcement: Announcement) -> None:
        if self._confirming is not None:
            self._confirming.cancel()
        self._confirming = asyncio.create_task(self._confirm(announcement))

    async def _confirm(self, announcement: Announcement) -> None:
        """Register a server that says it serves.

        One that doesn't tell is asked again until its lease would end; one
        that says it doesn't serve, after its next announcement.
        """
        end_ms = self._clock.now_ms() + self._lease_ms
        health = await self._check_health(announcement)
        while health is None and self._clock.now_ms() < end_ms:
            await self._clock.sleep(RECHECK_INTERVAL_MS)
            health = await self._check_health(announcement)
        order = self._announcement_order
        if order.current is not announcement or order.has_departed(
            announcement
        ):
            return
        if health == Health(announcement.instance, is_serving=True):
            self._confirmed = announcement.process
            order.confirm(announcement)
            self._register(announcement)
        else:
            _log.info('Server {} is not confirmed.', announcement.instance)

    def _register(self, announcement: Announcement) -> None:
        if self._is_stopping:
            return
        self._gateway.attach_process(
            ServerProcess(
                announcement.instance,
                announcement.service,
                announcement.address,
                announcement.process_start_ms,
            ),
        )
        # A cold server is slow at any concurrency, so that a lower limit would
        # only leave slots unused.
        self._admission.limit.update_slots(announcement.slots)
        self._warm_until_ms = (
            self._clock.now_ms() + announcement.remaining_slow_start_ms
        )
        self.lifecycle.renew(self._lease_ms)
        member = self._members.announce(
            MemberState.WARMING,
            announcement.service,
            announcement.slots,
        )
        self._disseminate(member)
        self.lifecycle.announce()
        self._admission.admit_waiting()

    def _renew(self, announcement: Announcement) -> None:
        if self.lifecycle.state is ServerState.ABSENT:
            self._register(announcement)
        self.lifecycle.renew(self._lease_ms)
        if announcement.slots != self._admission.limit.slots:
            self._admission.limit.update_slots(announcement.slots)
            self._announce_state(self._members.local.state)

    def _on_state(self, state: ServerState) -> None:
        _log.info('Server state: {}.', state)
        match state:
            case ServerState.SERVING:
                self._announce_state(MemberState.SERVING)
            case ServerState.DRAINING:
                self._admission.refuse_waiting(RefusalReason.DRAINING)
                self._announce_state(MemberState.DRAINING)
            case ServerState.ABSENT:
                self._admission.refuse_waiting(RefusalReason.NOT_SERVING)
                self._announce_state(MemberState.DRAINING)

    def _announce_state(self, state: MemberState) -> None:
        slots = self._admission.limit.slots
        self._disseminate(self._members.announce(state, slots=slots))
