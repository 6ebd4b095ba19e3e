"""Policy records that operators publish, in two schema versions.

A record is a JSON object with ``schema``, ``id``, ``subject``, ``based_on``
and ``body``. Records of schema 1 are converted to schema 2 when they are
read, so both versions can share one stream. A record with a schema version or
a field that this release doesn't know is never applied in part: a record of a
newer schema is stored and reported, any other one is rejected as invalid.
"""

import dataclasses
from typing import Annotated, Literal

import pydantic

from bergamotmount.jsoninput import JsonError, load_json
from bergamotmount.rank import LEVELS

#: Newest schema version that this release reads.
NEWEST_SCHEMA = 2

#: Maximum size of a record.
MAX_RECORD_BYTES = 256 << 10

#: Maximum length of the id of a record, in characters.
MAX_ID_CHARS = 64

#: Maximum length of a rejected value quoted in a problem, in characters.
MAX_QUOTED_LENGTH = 80

_NAME_PATTERN = '^[a-z][a-z0-9_-]{0,62}$'
_CALLEE_PATTERN = '^[a-z][a-z0-9_-]{0,62}/[a-z][a-z0-9_-]{0,62}$'
_SUBJECT_PATTERN = '^(retries|servers|service/[a-z][a-z0-9_-]{0,62})$'
_SERVICE_SUBJECT = 'service/'
_MS_PER_SECOND = 1000
_MAX_RETRIES = 100
_MAX_TIMEOUT_MS = 600_000

_Name = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]
_Callee = Annotated[str, pydantic.Field(pattern=_CALLEE_PATTERN)]
_TimeoutMs = Annotated[int, pydantic.Field(ge=1, le=_MAX_TIMEOUT_MS)]
_Seconds = Annotated[
    float,
    pydantic.Field(ge=0.001, le=_MAX_TIMEOUT_MS / _MS_PER_SECOND),
]
_Retries = Annotated[int, pydantic.Field(ge=0, le=_MAX_RETRIES)]
_Ratio = Annotated[float, pydantic.Field(ge=0, le=1)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True)


class OperationBody(_StrictModel):
    """Operation in schema 2; times in milliseconds, level 0 to 3."""

    level: Annotated[int, pydantic.Field(ge=0, lt=LEVELS)]
    idempotent: bool
    callees: list[_Callee] = []
    timeout_ms: _TimeoutMs = 2000


class ServiceBody(_StrictModel):
    """All operations of one service, in schema 2."""

    operations: dict[_Name, OperationBody]


class RetriesBody(_StrictModel):
    """Bounds on retries, in schema 2."""

    per_request: _Retries
    ratio: _Ratio = 0.1
    backoff_ms: Annotated[int, pydantic.Field(ge=0, le=10_000)] = 10


class ServersBody(_StrictModel):
    """Timing of backend servers, in schema 2."""

    slow_start_ms: Annotated[int, pydantic.Field(ge=0, le=_MAX_TIMEOUT_MS)]
    lease_ms: _TimeoutMs = 5000
    drain_ms: _TimeoutMs = 30_000


class OperationBodyV1(_StrictModel):
    """Operation in schema 1; importance in words, times in seconds."""

    importance: Literal['important', 'normal', 'low', 'batch']
    repeat: bool
    calls: list[_Callee] = []
    timeout_s: _Seconds = 2


class ServiceBodyV1(_StrictModel):
    """All operations of one service, in schema 1."""

    operations: dict[_Name, OperationBodyV1]


class RetriesBodyV1(_StrictModel):
    """Bounds on retries, in schema 1."""

    retries: _Retries
    ratio: _Ratio = 0.1


class ServersBodyV1(_StrictModel):
    """Timing of backend servers, in schema 1; times in seconds."""

    warm_up_s: Annotated[float, pydantic.Field(ge=0, le=600)]
    lease_s: _Seconds = 5
    drain_s: _Seconds = 30


class _Header(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    schema_version: Annotated[int, pydantic.Field(alias='schema', ge=1)]
    record_id: Annotated[
        str,
        pydantic.Field(alias='id', min_length=8, max_length=MAX_ID_CHARS),
    ]
    subject: Annotated[str, pydantic.Field(pattern=_SUBJECT_PATTERN)]
    based_on: Annotated[int, pydantic.Field(ge=0)] | None
    body: dict[str, object]


Body = ServiceBody | RetriesBody | ServersBody


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Valid record with its body converted to the newest schema."""

    schema: int
    record_id: str
    subject: str
    based_on: int | None
    body: Body


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRecord:
    """Record that fails validation; each problem names field and value."""

    record_id: str
    problems: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class NewerRecord:
    """Record of a schema version newer than this release supports."""

    record_id: str
    subject: str
    schema: int
    based_on: int | None


def parse_record(raw: bytes) -> Record | InvalidRecord | NewerRecord:
    """Validate a raw record and convert its body to the newest schema."""
    if len(raw) > MAX_RECORD_BYTES:
        problem = f'record: {len(raw)} bytes, at most {MAX_RECORD_BYTES}'
        return InvalidRecord('', [problem])
    try:
        document = load_json(raw)
    except JsonError as error:
        return InvalidRecord('', [f'record: not JSON: {error}'])
    if not isinstance(document, dict):
        return InvalidRecord('', ['record: not a JSON object'])
    return parse_document(document)


def parse_document(
    document: dict[str, object],
) -> Record | InvalidRecord | NewerRecord:
    """Validate a record that is already parsed from JSON."""
    record_id = str(document.get('id', ''))[:MAX_ID_CHARS]
    schema = document.get('schema')
    if isinstance(schema, int) and schema > NEWEST_SCHEMA:
        return _parse_newer(record_id, schema, document)
    try:
        return _parse_known(document)
    except pydantic.ValidationError as error:
        return InvalidRecord(record_id, describe_problems(error))


def describe_problems(error: pydantic.ValidationError) -> list[str]:
    """Return a line for each problem: field, constraint, rejected value."""
    problems = []
    for problem in error.errors():
        field = '.'.join(map(str, problem['loc'])) or 'record'
        found = repr(problem['input'])[:MAX_QUOTED_LENGTH]
        allowed = problem['msg']
        problems.append(f'{field}: {allowed}; found {found}')
    return problems


def _parse_known(document: dict[str, object]) -> Record:
    header = _Header.model_validate(document)
    kind = _kind_of(header.subject)
    body: Body
    if header.schema_version == 1:
        body = _upgrade_body(
            _MODEL_V1_BY_KIND[kind].model_validate(header.body)
        )
    else:
        body = _MODEL_BY_KIND[kind].model_validate(header.body)
    return Record(
        header.schema_version,
        header.record_id,
        header.subject,
        header.based_on,
        body,
    )


def _parse_newer(
    record_id: str,
    schema: int,
    document: dict[str, object],
) -> NewerRecord | InvalidRecord:
    subject = document.get('subject')
    based_on = document.get('based_on')
    if not isinstance(subject, str) or not record_id:
        return InvalidRecord(record_id, ['record: no id or no subject'])
    if based_on is not None and not isinstance(based_on, int):
        return InvalidRecord(record_id, ['based_on: not an offset'])
    return NewerRecord(record_id, subject, schema, based_on)


def _kind_of(subject: str) -> str:
    return subject.partition('/')[0]


def service_of(subject: str) -> str:
    """Return the service of a subject, or an empty string."""
    if subject.startswith(_SERVICE_SUBJECT):
        return subject.removeprefix(_SERVICE_SUBJECT)
    return ''


def body_from_json(subject: str, body: dict[str, object]) -> Body:
    """Return the body of an accepted record from a checkpoint."""
    return _MODEL_BY_KIND[_kind_of(subject)].model_validate(body)


def _upgrade_body(old: pydantic.BaseModel) -> Body:
    match old:
        case ServiceBodyV1(operations=operations):
            converted = {
                name: _upgrade_operation(operation)
                for name, operation in operations.items()
            }
            return ServiceBody(operations=converted)
        case RetriesBodyV1(retries=retries, ratio=ratio):
            return RetriesBody(per_request=retries, ratio=ratio)
        case ServersBodyV1():
            return ServersBody(
                slow_start_ms=_to_ms(old.warm_up_s),
                lease_ms=_to_ms(old.lease_s),
                drain_ms=_to_ms(old.drain_s),
            )
        case _:
            raise TypeError(
                f'no conversion from schema 1 for {type(old).__name__}'
            )


def _upgrade_operation(old: OperationBodyV1) -> OperationBody:
    return OperationBody(
        level=_LEVEL_BY_IMPORTANCE[old.importance],
        idempotent=old.repeat,
        callees=old.calls,
        timeout_ms=_to_ms(old.timeout_s),
    )


def _to_ms(seconds: float) -> int:
    return round(seconds * _MS_PER_SECOND)


_LEVEL_BY_IMPORTANCE = {'important': 0, 'normal': 1, 'low': 2, 'batch': 3}

_MODEL_BY_KIND: dict[str, type[Body]] = {
    'service': ServiceBody,
    'retries': RetriesBody,
    'servers': ServersBody,
}

_MODEL_V1_BY_KIND: dict[str, type[pydantic.BaseModel]] = {
    'service': ServiceBodyV1,
    'retries': RetriesBodyV1,
    'servers': ServersBodyV1,
}
