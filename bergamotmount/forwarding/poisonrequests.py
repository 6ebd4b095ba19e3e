"""Poison requests: those that crash each server that begins to run them.

Load pattern: a caller repeats a request that crashes its server. Each attempt
has an id of its own and arrives at any node, so neither the retries of one
attempt nor the retry budget of a service see that it is the same request. The
servers of the service end as fast as they start, and everything that depends
on them fails.

A node reports which requests were in flight when its server crashed, and the
reports reach all nodes. A request under which several servers have crashed is
quarantined: the nodes beside the servers no longer send it. Frequent requests
may be in flight at several crashes without having caused them. Two things
protect them: a success at any server clears a request, and a quarantined
request is probed. Only one node probes, at growing intervals and a few times
in all, because each probe may cost a server::

    poison_requests.record_crash(fingerprint, 'i-7f3a')
    if poison_requests.is_quarantined(fingerprint):
        ...  # refuse it
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Iterable

from bergamotmount.clock import Clock
from bergamotmount.fingerprint import fingerprint as fingerprint_of
from bergamotmount.reports import CrashReport

#: Crashes after which a request is quarantined, and after which one attempt
#: of it isn't sent to another server.
MIN_CRASHES = 3
MAX_CRASHES_PER_ATTEMPT = 2

#: Time for which crashes are remembered, and answers that cleared a request.
RETENTION_MS = 10 * 60 * 1000
CLEARANCE_MS = 60_000

#: Time from the last crash to the first probe, and the factor by which it
#: grows with each one, up to the maximum number of probes.
PROBE_DELAY_MS = 2000
PROBE_DELAY_FACTOR = 5
MAX_PROBES = 3

#: Time for which a node passes on what it has learned. For nodes that have
#: restarted, later messages repeat the reports on quarantined requests, as
#: this share of all, to keep heartbeats small.
RELAY_MS = 3000
REPEATED_SHARE = 0.1

#: Maximum number of reports in one message, and of requests in the table.
MAX_RELAYED_REPORTS = 32
MAX_REQUESTS = 512


def forwarded_fingerprint(
    method: str, route: str, target: str, body: bytes
) -> int:
    """Return the fingerprint of a forwarded request.

    The service isn't part of it, because a policy may move the route.
    """
    return fingerprint_of(method, f'{route} {target}', body)


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes under one request since a server last ran it with success.

    ``learned_ms`` is when the newest of them was learned of, ``probed_ms``
    when the request was probed. ``is_own`` tells that a server of this host
    was one of those that crashed, so that this node keeps the store up to date.
    """

    crash_ms_by_server: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    cleared_ms: float = -math.inf
    learned_ms: float = -math.inf
    probed_ms: float = -math.inf
    is_own: bool = False

    @property
    def crashes(self) -> int:
        return len(self.crash_ms_by_server)

    @property
    def is_quarantined(self) -> bool:
        return self.crashes >= MIN_CRASHES

    @property
    def last_crash_ms(self) -> float:
        return max(self.crash_ms_by_server.values(), default=-math.inf)

    @property
    def next_probe_ms(self) -> float:
        """Time of the next probe, infinite if there is none."""
        probes = self.crashes - MIN_CRASHES
        if probes >= MAX_PROBES:
            return math.inf
        delay_ms = PROBE_DELAY_MS * PROBE_DELAY_FACTOR**probes
        return max(self.last_crash_ms, self.probed_ms) + delay_ms

    def add(self, server: str, crash_ms: float) -> bool:
        """Add a crash; return whether it is new and not cleared."""
        if server in self.crash_ms_by_server or crash_ms <= self.cleared_ms:
            return False
        self.crash_ms_by_server[server] = crash_ms
        return True

    def clear(self, cleared_ms: float) -> bool:
        """Drop the crashes before an answer; return whether there were any."""
        self.cleared_ms = max(self.cleared_ms, cleared_ms)
        kept = {
            server: crash_ms
            for server, crash_ms in self.crash_ms_by_server.items()
            if crash_ms > cleared_ms
        }
        is_changed = len(kept) < self.crashes
        self.crash_ms_by_server = kept
        return is_changed

    def is_expired(self, now_ms: float) -> bool:
        return (
            now_ms - self.last_crash_ms > RETENTION_MS
            and now_ms - self.cleared_ms > CLEARANCE_MS
        )


def _do_nothing() -> None:
    """Ignore news."""


class PoisonRequests:
    """Requests under which servers have crashed, as far as this node knows."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        on_news: Callable[[], None] = _do_nothing,
    ) -> None:
        """Start empty.

        ``on_news`` is called when other nodes should learn of a change before
        the next heartbeat.
        """
        self._clock = clock
        self._rng = rng
        self._on_news = on_news
        self._suspect_by_fingerprint: dict[int, _Suspect] = {}
        #: Requests whose crashes in the store are outdated.
        self.unpublished: asyncio.Queue[int] = asyncio.Queue()

    @property
    def is_empty(self) -> bool:
        """Whether no request is under suspicion."""
        return not self._suspect_by_fingerprint

    def crashes(self, fingerprint: int) -> int:
        """Return how many servers have crashed under a request."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return 0 if suspect is None else suspect.crashes

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request isn't sent to servers."""
        return self.crashes(fingerprint) >= MIN_CRASHES

    def quarantined_by(self, fingerprint: int) -> list[str]:
        """Return the servers that crashed under a request in quarantine."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return []
        return list(suspect.crash_ms_by_server)

    def try_probe(self, fingerprint: int) -> bool:
        """Start a probe of a quarantined request; return whether it is due."""
        suspect = self._suspect_by_fingerprint[fingerprint]
        now_ms = self._clock.now_ms()
        if now_ms < suspect.next_probe_ms:
            return False
        suspect.probed_ms = now_ms
        return True

    def retry_after_ms(self, fingerprint: int) -> int:
        """Return the time to the next probe, or until the crashes expire."""
        suspect = self._suspect_by_fingerprint[fingerprint]
        expiry_ms = suspect.last_crash_ms + RETENTION_MS
        next_ms = min(suspect.next_probe_ms, expiry_ms)
        return max(int(next_ms - self._clock.now_ms()), 1)

    def record_crash(self, fingerprint: int, server: str) -> None:
        """Record that a request was in flight when a server crashed."""
        self._suspect(fingerprint).is_own = True
        self.learn([CrashReport(fingerprint, server)])

    def record_success(self, fingerprint: int) -> None:
        """Record that a server has run a request with success."""
        if self.crashes(fingerprint):
            self.learn([CrashReport(fingerprint, '')])

    def learn(self, reports: Iterable[CrashReport]) -> None:
        """Apply reports of this node or of others."""
        is_urgent = False
        for report in reports:
            is_urgent |= self._apply(report)
        if is_urgent:
            self._on_news()

    def reports_on(self, fingerprint: int) -> list[CrashReport]:
        """Return what is known of one request."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return []
        return self._reports(fingerprint, suspect)

    def reports_to_relay(self) -> list[CrashReport]:
        """Return the reports for a message, on quarantined requests first."""
        if not self._suspect_by_fingerprint:
            return []
        self._remove_expired()
        oldest_ms = self._clock.now_ms() - RELAY_MS
        is_repeated = self._rng.random() < REPEATED_SHARE
        relayed = [
            (suspect.crashes, fingerprint)
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.learned_ms > oldest_ms
            or (is_repeated and suspect.is_quarantined)
        ]
        reports: list[CrashReport] = []
        for _, each in sorted(relayed, reverse=True):
            reports.extend(self.reports_on(each))
            if len(reports) >= MAX_RELAYED_REPORTS:
                break
        return reports[:MAX_RELAYED_REPORTS]

    def _apply(self, report: CrashReport) -> bool:
        """Apply a report; return whether others should learn of it now."""
        now_ms = self._clock.now_ms()
        suspect = self._suspect(report.fingerprint)
        was_quarantined = suspect.is_quarantined
        at_ms = now_ms - report.age_ms
        if report.server:
            is_changed = suspect.add(report.server, at_ms)
        else:
            is_changed = suspect.clear(at_ms)
        if not is_changed:
            return False
        suspect.learned_ms = now_ms
        if suspect.is_own and (was_quarantined or suspect.is_quarantined):
            self.unpublished.put_nowait(report.fingerprint)
        return was_quarantined or suspect.crashes >= MAX_CRASHES_PER_ATTEMPT

    def _suspect(self, fingerprint: int) -> _Suspect:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            if len(self._suspect_by_fingerprint) >= MAX_REQUESTS:
                self._remove_oldest()
            suspect = _Suspect()
            self._suspect_by_fingerprint[fingerprint] = suspect
        return suspect

    def _reports(
        self, fingerprint: int, suspect: _Suspect
    ) -> list[CrashReport]:
        now_ms = self._clock.now_ms()
        reports = [
            CrashReport(fingerprint, server, int(now_ms - crash_ms))
            for server, crash_ms in suspect.crash_ms_by_server.items()
        ]
        if suspect.cleared_ms > -math.inf:
            age_ms = int(now_ms - suspect.cleared_ms)
            reports.append(CrashReport(fingerprint, '', age_ms))
        return reports

    def _remove_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            if suspect.is_expired(now_ms):
                self._suspect_by_fingerprint.pop(fingerprint)
                if suspect.is_own and suspect.is_quarantined:
                    self.unpublished.put_nowait(fingerprint)

    def _remove_oldest(self) -> None:
        oldest = min(
            self._suspect_by_fingerprint,
            key=lambda each: (
                self._suspect_by_fingerprint[each].is_quarantined,
                self._suspect_by_fingerprint[each].learned_ms,
            ),
        )
        self._suspect_by_fingerprint.pop(oldest)
