"""Commands that show the active policy and the state of the nodes."""

import argparse
import dataclasses
import difflib
import json
from collections import Counter, defaultdict

from bergamotmount.acceptance import Verdict, VerdictKind
from bergamotmount.ctlpublish import with_header
from bergamotmount.ctlsources import (
    InputError,
    Report,
    Sources,
    query_members,
    read_document,
)
from bergamotmount.records import Record, parse_document


async def show(sources: Sources, arguments: argparse.Namespace) -> Report:
    """Print the records that are active on the node."""
    state = await sources.query_node('/policy')
    records = {
        subject: record
        for subject, record in sorted(state['records'].items())
        if arguments.subject in {None, subject}
    }
    lines = [f'policy up to offset {state["offset"]} is active']
    for subject, record in records.items():
        lines.append(
            f'{subject}: offset {record["offset"]}, schema {record["schema"]}'
            f', id {record["id"]}',
        )
        lines.extend(json.dumps(record['body'], indent=2).splitlines())
    if arguments.subject and not records:
        raise InputError(f'no active record for {arguments.subject}')
    return Report(lines, {'offset': state['offset'], 'records': records})


async def history(sources: Sources, arguments: argparse.Namespace) -> Report:
    """List the records in the log with the verdicts on them."""
    await sources.publisher.catch_up()
    verdicts = [
        verdict
        for verdict in sources.publisher.verdicts()
        if arguments.subject in {None, verdict.subject}
    ]
    return _report_verdicts(verdicts, 'no records')


async def conflicts(sources: Sources, _arguments: object) -> Report:
    """List records that were not accepted."""
    await sources.publisher.catch_up()
    verdicts = [
        verdict
        for verdict in sources.publisher.verdicts()
        if verdict.kind is not VerdictKind.ACCEPTED
    ]
    return _report_verdicts(verdicts, 'no conflicts')


async def diff(sources: Sources, arguments: argparse.Namespace) -> Report:
    """Compare a record file with the record that is active on the node."""
    parsed = parse_document(with_header(read_document(arguments.file)))
    if not isinstance(parsed, Record):
        raise InputError(f'{arguments.file}: not a valid record')
    state = await sources.query_node('/policy')
    active = state['records'].get(parsed.subject) or {'body': {}}
    lines = list(
        difflib.unified_diff(
            _format_body(active['body']),
            _format_body(parsed.body.model_dump()),
            f'{parsed.subject} (active)',
            arguments.file,
            lineterm='',
        ),
    )
    return Report(lines or ['no difference'], {'diff': lines})


async def status(sources: Sources, _arguments: object) -> Report:
    """Print servers, thresholds and refusals by reason."""
    local = await sources.query_node('/status')
    statuses = await query_members(sources, local['members'], '/status')
    counts = _sum_counters(statuses)
    lines = [
        f'seen from {local["node"]}:',
        *_describe_members(local['members'], statuses),
        'thresholds (4 admits everything):',
        *_describe_counts(local['thresholds']),
    ]
    for name in sorted(counts):
        lines.append(f'{name}:')
        lines.extend(_describe_counts(counts[name]))
    return Report(lines, {'seen_from': local, 'counters': counts})


def _report_verdicts(verdicts: list[Verdict], placeholder: str) -> Report:
    lines = [
        f'{verdict.offset} {verdict.kind} {verdict.subject or "-"} '
        f'{verdict.record_id} {verdict.detail}'.rstrip()
        for verdict in verdicts
    ]
    document = [dataclasses.asdict(verdict) for verdict in verdicts]
    return Report(lines or [placeholder], document)


def _describe_members(
    members: list[dict],
    statuses: dict[str, dict],
) -> list[str]:
    members = sorted(members, key=lambda member: member['node'])
    return [
        _describe_member(member, statuses.get(member['node']))
        for member in members
    ]


def _describe_member(member: dict, answer: dict | None) -> str:
    line = (
        f'  {member["node"]} {member["failure_domain"]} {member["state"]} '
        f'{member["service"] or "-"}'
    )
    if answer is None:
        return f'{line} (no answer)'
    server = answer['server']
    reach = 'reachable' if answer['log_reachable'] else 'unreachable'
    return (
        f'{line} in flight {server["in_flight"]}/{server["limit"]}, '
        f'queued {server["queued"]}, policy offset {answer["policy_offset"]}, '
        f'log {reach}'
    )


def _describe_counts(count_by_name: dict[str, float]) -> list[str]:
    return [
        f'  {name} {count:g}' for name, count in sorted(count_by_name.items())
    ]


def _sum_counters(statuses: dict[str, dict]) -> dict[str, dict[str, float]]:
    sum_by_name: dict[str, Counter[str]] = defaultdict(Counter)
    for answer in statuses.values():
        for name, counts in answer['counters'].items():
            sum_by_name[name].update(counts)
    return {counter: dict(sums) for counter, sums in sum_by_name.items()}


def _format_body(body: dict) -> list[str]:
    return json.dumps(body, indent=2, sort_keys=True).splitlines()
