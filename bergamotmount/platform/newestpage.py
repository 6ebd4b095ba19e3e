"""Pages of the newest records of a keyed topic, as the store answers them.

Keys and values come from whoever writes to the topic. A record that can't be
read is left out, and the others of its page count.
"""

import base64
import dataclasses
import json

import msgspec

from bergamotmount.jsoninput import JsonError, decode_json
from bergamotmount.log import part_logger


class _WireRecord(msgspec.Struct):
    key: str
    encoded: str = msgspec.field(name='value')


class _WirePage(msgspec.Struct):
    end_offset: int
    records: list[msgspec.Raw] = msgspec.field(name='items')
    has_more: bool = False


#: Stands for what isn't text in a key.
_REPLACEMENT = '\ufffd'

_log = part_logger('store')

_page_decoder = msgspec.json.Decoder(_WirePage)
_record_decoder = msgspec.json.Decoder(_WireRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """Newest records of some keys, and the end of the topic.

    ``next_key`` is the key after which the next page begins, empty if there is
    none.
    """

    record_by_key: dict[str, bytes]
    end_offset: int
    next_key: str


def parse_newest_page(body: bytes) -> NewestPage:
    """Return the records of a page that can be read.

    Raise :class:`~bergamotmount.jsoninput.JsonError` if the page itself can't
    be read.
    """
    wire = _split_page(body)
    record_by_key: dict[str, bytes] = {}
    next_key = ''
    for packed in wire.records:
        try:
            record = _decode_record(bytes(packed))
            next_key = record.key
            record_by_key[record.key] = _decode_value(record)
        except JsonError as error:
            _log.warning('Record after {!r} skipped: {}.', next_key, error)
    return NewestPage(
        record_by_key, wire.end_offset, next_key if wire.has_more else ''
    )


def _split_page(body: bytes) -> _WirePage:
    """Return a page with its records still encoded."""
    try:
        return decode_json(_page_decoder.decode, body)
    except JsonError:
        # The key of one record may hold what isn't text.
        text = decode_json(_replace_odd_text, body)
        return decode_json(_page_decoder.decode, text)


def _replace_odd_text(body: bytes) -> bytes:
    """Return a page in which all text can be encoded."""
    page = json.loads(body.decode(errors='replace'))
    packed = json.dumps(page, ensure_ascii=False).encode(
        'utf-16-le', 'surrogatepass'
    )
    return packed.decode('utf-16-le', 'replace').encode()


def _decode_record(packed: bytes) -> _WireRecord:
    record = decode_json(_record_decoder.decode, packed)
    if _REPLACEMENT in record.key:
        raise JsonError(f'key {record.key!r} is not text')
    return record


def _decode_value(record: _WireRecord) -> bytes:
    try:
        return base64.b64decode(record.encoded, validate=True)
    except ValueError as error:
        raise JsonError(f'value of {record.key!r}: {error}') from error
