"""Acceptance of policy records as a deterministic function of the log.

Every node applies the same records in the same order and therefore reaches
the same state without coordination. A record is accepted if it is valid and
its ``based_on`` names the newest accepted record of its subject. Of two
records published concurrently the first in the log is accepted, and the other
is a conflict::

    state = AcceptedState()
    verdict = state.apply(0, raw)
"""

import dataclasses
import enum
import json

from bergamotmount import policy as policy_model
from bergamotmount import records
from bergamotmount.jsoninput import decode_json

#: Maximum number of verdicts stored for operators and to detect duplicates.
MAX_VERDICTS = 1000

#: Maximum length of the detail of a verdict, in characters.
MAX_DETAIL_CHARS = 2000

#: What the conversion of a malformed state raises.
_MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_CHECKPOINT = 'checkpoint'
_CHECKPOINT_START = b'{"checkpoint"'


class VerdictKind(enum.StrEnum):
    """Outcome of a record."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    NEWER_SCHEMA = 'newer_schema'
    CHECKPOINT = 'checkpoint'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on one record; it is identical on every node."""

    offset: int
    kind: VerdictKind
    record_id: str = ''
    subject: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """Newest accepted record of a subject.

    ``newer_raw`` is a record of a newer schema that replaced the record in
    ``body``. This release can't read it, so the previous body stays active.
    """

    offset: int
    record_id: str
    schema: int
    body: records.Body | None
    newer_raw: str = ''
    _operations: list[policy_model.Operation] = dataclasses.field(
        default_factory=list,
        compare=False,
    )

    def operations(self, subject: str) -> list[policy_model.Operation]:
        """Return the operations of the record, computed on first use."""
        if isinstance(self.body, records.ServiceBody) and not self._operations:
            self._operations.extend(_build_operations(subject, self.body))
        return self._operations


class StateError(Exception):
    """The serialized state can't be read."""


class AcceptedState:
    """All accepted records up to and including a log offset."""

    def __init__(self) -> None:
        """Create the state before the first record of the log."""
        self.offset = -1
        self.record_by_subject: dict[str, AcceptedRecord] = {}
        self.verdict_by_id: dict[str, Verdict] = {}

    def apply(self, offset: int, raw: bytes) -> Verdict:
        """Decide on the record at ``offset`` and advance the state to it.

        A record at or before the current offset changes nothing.
        """
        if offset <= self.offset:
            return Verdict(offset, VerdictKind.DUPLICATE, detail='old offset')
        if is_checkpoint(raw):
            verdict = Verdict(offset, VerdictKind.CHECKPOINT)
        else:
            verdict = self._decide(offset, raw)
            self._store_verdict(verdict)
        self.offset = offset
        return verdict

    def to_bytes(self) -> bytes:
        """Serialize the state for a checkpoint or for a peer."""
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
        """Restore a state serialized by :meth:`to_bytes`.

        Raise :class:`StateError` for any other input.
        """
        try:
            return cls._from_document(decode_json(json.loads, raw))
        except _MALFORMED as error:
            raise StateError(f'not an accepted state: {error}') from error

    def to_checkpoint(self) -> bytes:
        """Return a checkpoint record that carries this state."""
        state = self.to_bytes().decode()
        return json.dumps({_CHECKPOINT: state}).encode()

    def policy(self) -> policy_model.Policy:
        """Build the policy that is active at this offset."""
        operations = []
        retries = policy_model.RetryPolicy()
        servers = policy_model.ServerPolicy()
        for subject, record in self.record_by_subject.items():
            match record.body:
                case records.ServiceBody():
                    operations.extend(record.operations(subject))
                case records.RetriesBody() as body:
                    retries = policy_model.RetryPolicy(**body.model_dump())
                case records.ServersBody() as body:
                    servers = policy_model.ServerPolicy(**body.model_dump())
        operation_by_name = policy_model.resolve_operations(operations)
        return policy_model.Policy(operation_by_name, retries, servers)

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
            state._store_verdict(Verdict(kind=kind, **verdict))
        return state

    def _decide(self, offset: int, raw: bytes) -> Verdict:
        match records.parse_record(raw):
            case records.InvalidRecord(record_id, problems):
                detail = '; '.join(problems)[:MAX_DETAIL_CHARS]
                kind = VerdictKind.INVALID
                return Verdict(offset, kind, record_id, detail=detail)
            case records.NewerRecord() as newer:
                text = raw.decode(json.detect_encoding(raw))
                return self._decide_newer(offset, newer, text)
            case record:
                return self._decide_valid(offset, record)

    def _decide_valid(self, offset: int, record: records.Record) -> Verdict:
        record_id, subject = record.record_id, record.subject
        kind, detail = self._check_base(record_id, subject, record.based_on)
        cycle = self._find_cycle_with(record)
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
        kind, detail = self._check_base(record_id, subject, newer.based_on)
        if kind is VerdictKind.ACCEPTED:
            previous = self.record_by_subject.get(subject)
            self.record_by_subject[subject] = AcceptedRecord(
                offset,
                record_id,
                newer.schema,
                previous.body if previous else None,
                raw,
            )
            kind = VerdictKind.NEWER_SCHEMA
            detail = f'schema {newer.schema} is newer than this release'
        return Verdict(offset, kind, record_id, subject, detail)

    def _check_base(
        self,
        record_id: str,
        subject: str,
        based_on: int | None,
    ) -> tuple[VerdictKind, str]:
        earlier = self.verdict_by_id.get(record_id)
        if earlier is not None:
            return VerdictKind.DUPLICATE, f'decided at offset {earlier.offset}'
        newest = self.record_by_subject.get(subject)
        base = newest.offset if newest else None
        if based_on != base:
            detail = f'based on {based_on}, newest accepted is {base}'
            return VerdictKind.CONFLICT, detail
        return VerdictKind.ACCEPTED, ''

    def _find_cycle_with(self, record: records.Record) -> str:
        if not isinstance(record.body, records.ServiceBody):
            return ''
        declared = _build_operations(record.subject, record.body)
        callees_by_name = {
            operation.full_name: operation.callees
            for subject, accepted in self.record_by_subject.items()
            if subject != record.subject
            for operation in accepted.operations(subject)
        }
        callees_by_name.update(
            (operation.full_name, operation.callees) for operation in declared
        )
        starts = [operation.full_name for operation in declared]
        cycle = policy_model.find_cycle(callees_by_name, starts)
        return ' -> '.join('/'.join(name) for name in cycle)

    def _store_verdict(self, verdict: Verdict) -> None:
        if not verdict.record_id or verdict.kind is VerdictKind.DUPLICATE:
            return
        self.verdict_by_id[verdict.record_id] = verdict
        while len(self.verdict_by_id) > MAX_VERDICTS:
            oldest = next(iter(self.verdict_by_id))
            self.verdict_by_id.pop(oldest)


def is_checkpoint(raw: bytes) -> bool:
    """Return whether a raw record is a checkpoint."""
    return read_checkpoint(raw) is not None


def read_checkpoint(raw: bytes) -> AcceptedState | None:
    """Return the state in a checkpoint, ``None`` for any other record."""
    if not raw.startswith(_CHECKPOINT_START):
        return None
    try:
        checkpoint = decode_json(json.loads, raw)
        return AcceptedState.from_bytes(checkpoint[_CHECKPOINT].encode())
    except (ValueError, AttributeError, StateError):
        return None


def _build_operations(
    subject: str,
    body: records.ServiceBody,
) -> list[policy_model.Operation]:
    service = records.service_of(subject)
    return [
        policy_model.Operation(
            service,
            name,
            operation.level,
            operation.idempotent,
            frozenset(_parse_name(callee) for callee in operation.callees),
            operation.timeout_ms,
        )
        for name, operation in body.operations.items()
    ]


def _parse_name(text: str) -> policy_model.OperationName:
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
