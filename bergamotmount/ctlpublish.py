"""Commands that validate and publish records."""

import argparse
import asyncio
import dataclasses
import time
import uuid

from bergamotmount.acceptance import Verdict, VerdictKind
from bergamotmount.ctlsources import (
    DEPARTED_STATES,
    InputError,
    Report,
    Sources,
    query_members,
    read_document,
)
from bergamotmount.publishing import Publisher, PublishTimeout
from bergamotmount.records import InvalidRecord, NewerRecord, parse_document

#: Default time to wait until all nodes use the record, in seconds.
DEFAULT_WAIT_S = 10

#: Interval between queries of the nodes, in seconds.
POLL_INTERVAL_S = 0.1

_MS_PER_SECOND = 1000


async def validate(_sources: Sources, arguments: argparse.Namespace) -> Report:
    """Validate record files."""
    lines = []
    problems_by_file: dict[str, list[str]] = {}
    for path in arguments.files:
        problems = _problems_of(read_document(path))
        problems_by_file[path] = problems
        lines.extend(f'{path}: {problem}' for problem in problems)
        if not problems:
            lines.append(f'{path}: valid')
    is_valid = not any(problems_by_file.values())
    return Report(lines, problems_by_file, 0 if is_valid else 2)


async def publish(sources: Sources, arguments: argparse.Namespace) -> Report:
    """Publish a record and wait until it is active on all nodes."""
    document = read_document(arguments.file)
    publisher = sources.publisher
    if arguments.based_on is not None:
        await publisher.catch_up()
        document['based_on'] = _resolve_base(
            publisher, document, arguments.based_on
        )
    document.setdefault('based_on', None)
    document.setdefault('id', uuid.uuid4().hex)
    problems = _problems_of(document)
    if problems:
        raise InputError('\n'.join([f'{arguments.file}: invalid', *problems]))
    verdict = await publisher.publish(
        document,
        arguments.wait_s * _MS_PER_SECOND,
    )
    match verdict:
        case PublishTimeout(may_be_appended):
            return _report_timeout(document, may_be_appended)
        case Verdict(kind=VerdictKind.ACCEPTED):
            return await _wait_until_active(sources, verdict, arguments.wait_s)
        case Verdict():
            return _report_rejected(verdict)


async def _wait_until_active(
    sources: Sources,
    verdict: Verdict,
    wait_s: float,
) -> Report:
    started_s = time.monotonic()
    while True:
        status = await sources.query_node('/status')
        members = status['members']
        offsets = await query_members(sources, members, '/policy/offset')
        elapsed_s = time.monotonic() - started_s
        status_by_domain = _group_by_domain(members, offsets, verdict.offset)
        is_complete = all(
            not nodes['missing'] and not nodes['unknown']
            for nodes in status_by_domain.values()
        )
        if is_complete or elapsed_s > wait_s:
            return _report_progress(
                verdict, status_by_domain, is_complete, elapsed_s
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _group_by_domain(
    members: list[dict],
    offsets: dict[str, dict],
    offset: int,
) -> dict[str, dict[str, list[str]]]:
    status_by_domain: dict[str, dict[str, list[str]]] = {}
    for member in members:
        if member['state'] in DEPARTED_STATES:
            continue
        nodes_by_status = status_by_domain.setdefault(
            member['failure_domain'],
            {'in_force': [], 'missing': [], 'unknown': []},
        )
        reported = offsets.get(member['node'])
        if reported is None:
            nodes_by_status['unknown'].append(member['node'])
        elif reported['offset'] >= offset:
            nodes_by_status['in_force'].append(member['node'])
        else:
            nodes_by_status['missing'].append(member['node'])
    return dict(sorted(status_by_domain.items()))


def _report_progress(
    verdict: Verdict,
    status_by_domain: dict[str, dict[str, list[str]]],
    is_complete: bool,
    elapsed_s: float,
) -> Report:
    lines = [f'{verdict.record_id}: accepted at offset {verdict.offset}']
    for domain, nodes_by_status in status_by_domain.items():
        counts = ', '.join(
            f'{len(nodes)} {name.replace("_", " ")}'
            for name, nodes in nodes_by_status.items()
            if nodes
        )
        unconfirmed = ' '.join(
            nodes_by_status['missing'] + nodes_by_status['unknown']
        )
        lines.append(
            f'  {domain}: {counts}{" " if unconfirmed else ""}{unconfirmed}'
        )
    lines.append(f'waited {elapsed_s:.2f} s')
    document = {
        'verdict': dataclasses.asdict(verdict),
        'failure_domains': status_by_domain,
        'elapsed_s': round(elapsed_s, 3),
    }
    return Report(lines, document, 0 if is_complete else 1)


def _report_rejected(verdict: Verdict) -> Report:
    line = (
        f'{verdict.record_id}: not active: {verdict.kind} at offset '
        f'{verdict.offset}: {verdict.detail}'
    )
    return Report([line], {'verdict': dataclasses.asdict(verdict)}, 1)


def _report_timeout(document: dict, may_be_appended: bool) -> Report:
    record_id = document['id']
    line = (
        f'{record_id}: the log could not be reached; '
        'the record was not published'
    )
    if may_be_appended:
        line = (
            f'{record_id}: the log did not answer; it may contain the record. '
            'Publish it again with this id to get the verdict; that is safe.'
        )
    return Report([line], {'id': record_id, 'unknown': may_be_appended}, 3)


def with_header(document: dict) -> dict:
    """Return a document with defaults for ``id`` and ``based_on``."""
    return {'id': uuid.uuid4().hex, 'based_on': None, **document}


def _problems_of(document: dict) -> list[str]:
    match parse_document(with_header(document)):
        case InvalidRecord(problems=problems):
            return problems
        case NewerRecord(schema=schema):
            return [f'schema: {schema} is newer than this release']
        case _:
            return []


def _resolve_base(
    publisher: Publisher, document: dict, requested: str
) -> int | None:
    if requested == 'none':
        return None
    if requested == 'newest':
        subject = document.get('subject')
        record_by_subject = publisher.follower.state.record_by_subject
        newest = record_by_subject.get(subject)
        return newest.offset if newest else None
    if requested.isdecimal():
        return int(requested)
    raise InputError(
        f'--based-on {requested}: must be an offset, "newest" or "none"'
    )
