"""Commands that check and publish records."""

import argparse
import asyncio
import dataclasses
import time
import uuid

from bergamotmount.acceptance import Verdict, VerdictKind
from bergamotmount.ctlsources import (
    GONE_STATES,
    InputError,
    Report,
    Sources,
    ask_all,
    read_document,
)
from bergamotmount.publishing import Publisher, PublishTimeout
from bergamotmount.records import InvalidRecord, NewerRecord, parse_document

#: Default time to wait for all nodes, in seconds.
WAIT_S = 10

#: Pause between two looks at the nodes, in seconds.
POLL_S = 0.1

_MS_PER_SECOND = 1000


async def validate(_sources: Sources, arguments: argparse.Namespace) -> Report:
    """Check record files."""
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
    """Publish a record and wait until it is in force."""
    document = read_document(arguments.file)
    publisher = sources.publisher
    if arguments.based_on is not None:
        await publisher.catch_up()
        document['based_on'] = _base(publisher, document, arguments.based_on)
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
            return await _wait_in_force(sources, verdict, arguments.wait_s)
        case Verdict():
            return _report_refused(verdict)


async def _wait_in_force(
    sources: Sources,
    verdict: Verdict,
    wait_s: float,
) -> Report:
    started_s = time.monotonic()
    while True:
        known = await sources.ask_node('/status')
        members = known['members']
        offsets = await ask_all(sources, members, '/policy/offset')
        elapsed_s = time.monotonic() - started_s
        places = _places(members, offsets, verdict.offset)
        is_everywhere = all(
            not place['missing'] and not place['unknown']
            for place in places.values()
        )
        if is_everywhere or elapsed_s > wait_s:
            return _report_places(verdict, places, is_everywhere, elapsed_s)
        await asyncio.sleep(POLL_S)


def _places(
    members: list[dict],
    offsets: dict[str, dict],
    offset: int,
) -> dict[str, dict[str, list[str]]]:
    places: dict[str, dict[str, list[str]]] = {}
    for member in members:
        if member['state'] in GONE_STATES:
            continue
        place = places.setdefault(
            member['failure_domain'],
            {'in_force': [], 'missing': [], 'unknown': []},
        )
        told = offsets.get(member['node'])
        if told is None:
            place['unknown'].append(member['node'])
        elif told['offset'] >= offset:
            place['in_force'].append(member['node'])
        else:
            place['missing'].append(member['node'])
    return dict(sorted(places.items()))


def _report_places(
    verdict: Verdict,
    places: dict[str, dict[str, list[str]]],
    is_everywhere: bool,
    elapsed_s: float,
) -> Report:
    lines = [f'{verdict.record_id}: accepted at offset {verdict.offset}']
    for domain, place in places.items():
        counts = ', '.join(
            f'{len(nodes)} {name.replace("_", " ")}'
            for name, nodes in place.items()
            if nodes
        )
        rest = ' '.join(place['missing'] + place['unknown'])
        lines.append(f'  {domain}: {counts}{" " if rest else ""}{rest}')
    lines.append(f'looked for {elapsed_s:.2f} s')
    document = {
        'verdict': dataclasses.asdict(verdict),
        'failure_domains': places,
        'elapsed_s': round(elapsed_s, 3),
    }
    return Report(lines, document, 0 if is_everywhere else 1)


def _report_refused(verdict: Verdict) -> Report:
    line = (
        f'{verdict.record_id}: not in force: {verdict.kind} at offset '
        f'{verdict.offset}: {verdict.detail}'
    )
    return Report([line], {'verdict': dataclasses.asdict(verdict)}, 1)


def _report_timeout(document: dict, may_be_appended: bool) -> Report:
    record_id = document['id']
    line = f'{record_id}: the log could not be reached; nothing was published'
    if may_be_appended:
        line = (
            f'{record_id}: the log did not answer; the record may be in it. '
            'Publish it again with this id to find out; that is safe.'
        )
    return Report([line], {'id': record_id, 'unknown': may_be_appended}, 3)


def with_head(document: dict) -> dict:
    """Return a document with an id and a base, if it has none yet."""
    return {'id': uuid.uuid4().hex, 'based_on': None, **document}


def _problems_of(document: dict) -> list[str]:
    match parse_document(with_head(document)):
        case InvalidRecord(problems=problems):
            return problems
        case NewerRecord(schema=schema):
            return [f'schema: {schema} is newer than this release']
        case _:
            return []


def _base(publisher: Publisher, document: dict, wanted: str) -> int | None:
    if wanted == 'none':
        return None
    if wanted == 'newest':
        subject = document.get('subject')
        record_by_subject = publisher.follower.state.record_by_subject
        newest = record_by_subject.get(subject)
        return newest.offset if newest else None
    if wanted.isdecimal():
        return int(wanted)
    raise InputError(f'--based-on {wanted}: an offset, "newest" or "none"')
