"""Acceptance of policy records, by a pure function of the log's order.

Every node applies the same records in the same order and so reaches the same
state, without asking anyone. A record is accepted when it is valid and based
on the newest accepted record of its subject; of two records published at once
the first in the log wins, and the other is a conflict::

    state = AcceptedState()
    verdict = state.apply(0, raw)
"""

import dataclasses
import enum
import json

from bergamotmount import policy as rules
from bergamotmount import records

#: Verdicts that are remembered, to tell operators and to skip duplicates.
MAX_VERDICTS = 1000

_CHECKPOINT = 'checkpoint'
_CHECKPOINT_START = b'{"checkpoint"'


class VerdictKind(enum.StrEnum):
    """What became of a record."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    NEWER_SCHEMA = 'newer_schema'
    CHECKPOINT = 'checkpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on one record, the same on every node."""

    offset: int
    kind: VerdictKind
    record_id: str = ''
    subject: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """Newest accepted record of a subject.

    ``newer_raw`` is a record of a newer schema that took the subject over:
    it can't be read by this release, so ``body`` still is the former one.
    """

    offset: int
    record_id: str
    schema: int
    body: records.Body | None
    newer_raw: str = ''
    _operations: list[rules.Operation] = dataclasses.field(
        default_factory=list,
        compare=False,
    )

    def operations(self, subject: str) -> list[rules.Operation]:
        """Return the operations of the record, worked out once."""
        if isinstance(self.body, records.ServiceBody) and not self._operations:
            self._operations.extend(_operations(subject, self.body))
        return self._operations


class StateError(Exception):
    """Serialized state that can't be read."""


class AcceptedState:
    """All accepted records up to a log offset."""

    def __init__(self) -> None:
        """Start before the first record of the log."""
        self.offset = -1
        self.record_by_subject: dict[str, AcceptedRecord] = {}
        self.verdict_by_id: dict[str, Verdict] = {}

    def apply(self, offset: int, raw: bytes) -> Verdict:
        """Decide on the record at ``offset`` and move the state there.

        An offset that the state has passed changes nothing.
        """
        if offset <= self.offset:
            return Verdict(offset, VerdictKind.DUPLICATE, detail='old offset')
        if is_checkpoint(raw):
            verdict = Verdict(offset, VerdictKind.CHECKPOINT)
        else:
            verdict = self._decide(offset, raw)
            self._remember(verdict)
        self.offset = offset
        return verdict

    def to_bytes(self) -> bytes:
        """Return the whole state, for a checkpoint or for a peer."""
        document = {
            'offset': self.offset,
            'records': {
                subject: _record_to_json(record)
                for subject, record in self.record_by_subject.items()
            },
            'verdicts': [
                dataclasses.asdict(verdict)
                for verdict in self.verdict_by_id.values()
            ],
        }
        return json.dumps(document, sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, raw: bytes) -> 'AcceptedState':
        """Return the state that :meth:`to_bytes` wrote.

        Raise :class:`StateError` for anything else.
        """
        try:
            return cls._from_document(json.loads(raw))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise StateError(f'no accepted state: {error}') from error

    def checkpoint(self) -> bytes:
        """Return the record that carries this state in the log."""
        state = self.to_bytes().decode()
        return json.dumps({_CHECKPOINT: state}).encode()

    def policy(self) -> rules.Policy:
        """Return the policy in force at this offset."""
        operations = []
        retries = rules.RetryPolicy()
        servers = rules.ServerPolicy()
        for subject, record in self.record_by_subject.items():
            match record.body:
                case records.ServiceBody():
                    operations.extend(record.operations(subject))
                case records.RetriesBody() as body:
                    retries = rules.RetryPolicy(**body.model_dump())
                case records.ServersBody() as body:
                    servers = rules.ServerPolicy(**body.model_dump())
        linked = rules.link_operations(operations)
        return rules.Policy(linked, retries, servers)

    @classmethod
    def _from_document(cls, document: dict) -> 'AcceptedState':
        state = cls()
        state.offset = int(document['offset'])
        for subject, record in document['records'].items():
            state.record_by_subject[subject] = _record_from_json(
                subject,
                record,
            )
        for verdict in document['verdicts']:
            kind = VerdictKind(verdict.pop('kind'))
            state._remember(Verdict(kind=kind, **verdict))
        return state

    def _decide(self, offset: int, raw: bytes) -> Verdict:
        match records.parse_record(raw):
            case records.InvalidRecord(record_id, problems):
                detail = '; '.join(problems)
                kind = VerdictKind.INVALID
                return Verdict(offset, kind, record_id, detail=detail)
            case records.NewerRecord() as newer:
                return self._decide_newer(offset, newer, raw.decode())
            case record:
                return self._decide_valid(offset, record)

    def _decide_valid(self, offset: int, record: records.Record) -> Verdict:
        record_id, subject = record.record_id, record.subject
        kind, detail = self._judge_base(record_id, subject, record.based_on)
        cycle = self._cycle_with(record)
        if kind is VerdictKind.ACCEPTED and cycle:
            kind = VerdictKind.INVALID
            detail = f'operations call in a circle: {cycle}'
        if kind is VerdictKind.ACCEPTED:
            self.record_by_subject[subject] = AcceptedRecord(
                offset,
                record_id,
                record.schema,
                record.body,
            )
        return Verdict(offset, kind, record_id, subject, detail)

    def _decide_newer(
        self,
        offset: int,
        newer: records.NewerRecord,
        raw: str,
    ) -> Verdict:
        record_id, subject = newer.record_id, newer.subject
        kind, detail = self._judge_base(record_id, subject, newer.based_on)
        if kind is VerdictKind.ACCEPTED:
            former = self.record_by_subject.get(subject)
            self.record_by_subject[subject] = AcceptedRecord(
                offset,
                record_id,
                newer.schema,
                former.body if former else None,
                raw,
            )
            kind = VerdictKind.NEWER_SCHEMA
            detail = f'schema {newer.schema} is newer than this release'
        return Verdict(offset, kind, record_id, subject, detail)

    def _judge_base(
        self,
        record_id: str,
        subject: str,
        based_on: int | None,
    ) -> tuple[VerdictKind, str]:
        known = self.verdict_by_id.get(record_id)
        if known is not None:
            return VerdictKind.DUPLICATE, f'decided at offset {known.offset}'
        newest = self.record_by_subject.get(subject)
        base = newest.offset if newest else None
        if based_on != base:
            detail = f'based on {based_on}, newest accepted is {base}'
            return VerdictKind.CONFLICT, detail
        return VerdictKind.ACCEPTED, ''

    def _cycle_with(self, record: records.Record) -> str:
        if not isinstance(record.body, records.ServiceBody):
            return ''
        changed = _operations(record.subject, record.body)
        callees_by_name = {
            operation.full_name: operation.callees
            for subject, known in self.record_by_subject.items()
            if subject != record.subject
            for operation in known.operations(subject)
        }
        callees_by_name.update(
            (operation.full_name, operation.callees) for operation in changed
        )
        starts = [operation.full_name for operation in changed]
        cycle = rules.find_cycle(callees_by_name, starts)
        return ' -> '.join('/'.join(name) for name in cycle)

    def _remember(self, verdict: Verdict) -> None:
        if not verdict.record_id or verdict.kind is VerdictKind.DUPLICATE:
            return
        self.verdict_by_id[verdict.record_id] = verdict
        while len(self.verdict_by_id) > MAX_VERDICTS:
            oldest = next(iter(self.verdict_by_id))
            self.verdict_by_id.pop(oldest)


def is_checkpoint(raw: bytes) -> bool:
    """Whether a raw record carries a checkpoint."""
    return read_checkpoint(raw) is not None


def read_checkpoint(raw: bytes) -> AcceptedState | None:
    """Return the state in a checkpoint, ``None`` for any other record."""
    if not raw.startswith(_CHECKPOINT_START):
        return None
    try:
        return AcceptedState.from_bytes(json.loads(raw)[_CHECKPOINT].encode())
    except (ValueError, AttributeError, StateError):
        return None


def _operations(
    subject: str,
    body: records.ServiceBody,
) -> list[rules.Operation]:
    service = records.service_of(subject)
    return [
        rules.Operation(
            service,
            name,
            operation.level,
            operation.idempotent,
            frozenset(_split_name(callee) for callee in operation.callees),
            operation.timeout_ms,
        )
        for name, operation in body.operations.items()
    ]


def _split_name(text: str) -> rules.OperationName:
    service, _, operation = text.partition('/')
    return service, operation


def _record_to_json(record: AcceptedRecord) -> dict[str, object]:
    return {
        'offset': record.offset,
        'id': record.record_id,
        'schema': record.schema,
        'body': record.body.model_dump() if record.body else None,
        'newer_raw': record.newer_raw,
    }


def _record_from_json(subject: str, document: dict) -> AcceptedRecord:
    newer_raw = document['newer_raw']
    body = document['body']
    record = AcceptedRecord(
        document['offset'],
        document['id'],
        document['schema'],
        records.body_from_json(subject, body) if body else None,
        newer_raw,
    )
    match records.parse_record(newer_raw.encode()):
        case records.Record(body=newer_body):
            return dataclasses.replace(record, body=newer_body, newer_raw='')
        case _:
            return record
