"""What the product promises, checked on the records of a soak."""

import collections
from collections.abc import Iterable, Iterator

from bergamotmount.tools.soak.truth import Arrival, Disturbance, Sent, Truth

#: Time after the word of a leaving server when new work must have ended.
DRAIN_S = 2

#: Time after its publication when a policy must be in force, and time after
#: an effect of a version when no older one may be seen.
APPLY_S = 3
ROLLBACK_S = 0.25

#: Bound on repeats in a window: ratio, slack, and the window in seconds.
RATIO = 0.2
SLACK = 47
WINDOW_S = 10

#: Time around an event in which a node counts as disturbed by it.
CALM_S = 3

#: Time in which the work for a caller that left must end, and the share and
#: number of runs that may take longer.
GONE_S = 0.5
GONE_SHARE = 0.25
GONE_LEAST = 5

#: Share of requests that must be served once all is sound again.
RECOVERED_SHARE = 0.95

_SUCCESS = 200
_NOT_FOUND = 404
_PROMISES = frozenset((408, 421, 429, 503))


def broken_promises(truth: Truth) -> list[str]:
    """Return a line for each broken promise, none for a good soak."""
    return [
        *_doubled(truth),
        *_run_though_refused(truth),
        *_wrong_answers(truth),
        *_work_after_departure(truth),
        *_lost_in_planned_work(truth),
        *_policy(truth),
        *_too_many_repeats(truth),
        *_worked_on_for_nobody(truth),
        *_processes(truth),
    ]


def _runs(truth: Truth, request_id: str) -> list[Arrival]:
    arrivals = truth.arrivals_by_id.get(request_id, ())
    return [arrival for arrival in arrivals if arrival.is_run]


def _doubled(truth: Truth) -> Iterator[str]:
    for sent in truth.sent_by_id.values():
        runs = _runs(truth, sent.request_id)
        if not sent.may_repeat and len(runs) > 1:
            yield f'doubled: {sent} ran at {runs}'


def _run_though_refused(truth: Truth) -> Iterator[str]:
    for sent in truth.sent_by_id.values():
        runs = _runs(truth, sent.request_id)
        if not sent.may_repeat and sent.status in _PROMISES and runs:
            yield f'run though refused: {sent} ran at {runs}'


def _wrong_answers(truth: Truth) -> Iterator[str]:
    for sent in truth.sent_by_id.values():
        if sent.status == _SUCCESS and not sent.is_whole:
            yield f'not its whole answer: {sent}'
        if sent.status == _SUCCESS and not _runs(truth, sent.request_id):
            yield f'an answer without a run: {sent}'


def _work_after_departure(truth: Truth) -> Iterator[str]:
    for arrivals in truth.arrivals_by_id.values():
        for arrival in arrivals:
            left_s = truth.left_s_by_instance.get(arrival.instance)
            if left_s is not None and arrival.arrived_s > left_s + DRAIN_S:
                yield f'work after departure at {left_s:.2f}: {arrival}'


def _lost_in_planned_work(truth: Truth) -> Iterator[str]:
    for sent in truth.sent_by_id.values():
        if sent.status or sent.is_call or sent.left_s is not None:
            continue
        runs = _runs(truth, sent.request_id)
        if not runs:
            continue
        hosts = {sent.host, *(run.host for run in runs)}
        spans = _disturbances(truth, hosts, sent.sent_s)
        if all(each.is_planned for each in spans):
            yield f'lost in planned work {spans}: {sent} ran at {runs}'


def _disturbances(
    truth: Truth,
    hosts: Iterable[str],
    around_s: float,
) -> list[Disturbance]:
    return [
        each
        for host in hosts
        for each in truth.disturbed(host, around_s - CALM_S, around_s + CALM_S)
    ]


def _policy(truth: Truth) -> Iterator[str]:
    probes = [
        sent
        for sent in truth.sent_by_id.values()
        if sent.path.startswith('/v') and sent.status
    ]
    served_s: dict[tuple[str, int, int], float] = {}
    for sent in sorted(probes, key=lambda each: each.answered_s):
        version = int(sent.path.split('/')[1].removeprefix('v'))
        key = sent.host, sent.life, version
        if sent.status == _SUCCESS:
            served_s.setdefault(key, sent.answered_s)
        if sent.status != _NOT_FOUND or _is_retired(truth, version, sent):
            continue
        if served_s.get(key, sent.sent_s) < sent.sent_s - ROLLBACK_S:
            yield f'policy went back: {sent}'
        published_s = truth.published_s_by_version[version]
        is_late = sent.sent_s > published_s + APPLY_S
        if is_late and truth.is_calm(
            sent.host,
            published_s - CALM_S,
            sent.sent_s,
        ):
            yield f'policy of {published_s:.2f} not in force: {sent}'


def _is_retired(truth: Truth, version: int, sent: Sent) -> bool:
    """Return whether a later version may have dropped the route."""
    later_s = truth.published_s_by_version.get(version + 2)
    return later_s is not None and sent.answered_s >= later_s


def _too_many_repeats(truth: Truth) -> Iterator[str]:
    repeats_s: dict[str, list[float]] = collections.defaultdict(list)
    for arrivals in truth.arrivals_by_id.values():
        for arrival in arrivals:
            if arrival.is_repeat:
                repeats_s[arrival.service].append(arrival.arrived_s)
    for service, times_s in repeats_s.items():
        for end_s in times_s:
            found = _within(times_s, end_s)
            requests = max(
                _within(truth.requested[service], end_s - offset_s)
                for offset_s in (0, WINDOW_S / 2, WINDOW_S)
            )
            if found > RATIO * requests + SLACK:
                yield (
                    f'too many repeats at {service} until {end_s:.2f}: '
                    f'{found} of {requests}'
                )
                break


def _within(times_s: Iterable[float], end_s: float) -> int:
    return sum(end_s - WINDOW_S < each <= end_s for each in times_s)


def _worked_on_for_nobody(truth: Truth) -> Iterator[str]:
    late = []
    watched = 0
    for sent in truth.sent_by_id.values():
        if sent.left_s is None or not truth.is_calm(
            sent.host,
            sent.sent_s - CALM_S,
            sent.left_s + GONE_S,
        ):
            continue
        for run in _runs(truth, sent.request_id):
            watched += 1
            if run.ended_s is None or run.ended_s > sent.left_s + GONE_S:
                late.append((sent, run))
    if len(late) > max(GONE_SHARE * watched, GONE_LEAST):
        yield f'worked on for {len(late)} callers that had left: {late[0]}'


def _processes(truth: Truth) -> Iterator[str]:
    for name in truth.ended_alone:
        yield f'ended by itself: {name}'
    for line in truth.error_lines:
        yield f'error in a log: {line}'
    if truth.recovered_share < RECOVERED_SHARE:
        yield f'not recovered: {truth.recovered_share:.2f} served at the end'
