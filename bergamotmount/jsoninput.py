"""JSON that somebody else has written, such as an operator or another node.

A decoder reports such text by more errors than its own: nesting exhausts the
recursion limit, also in a field that nobody reads, and a number may be too
large to be converted. Here all of them are one error::

    try:
        entry = decode_json(decoder.decode, raw)
    except JsonError as error:
        ...  # skip this one, go on with the others
"""

import json
from collections.abc import Callable
from typing import TypeVar

import msgspec

_Decoded = TypeVar('_Decoded')

#: Maximum depth of nesting in a document that all nodes must judge alike. How
#: deep the library reads depends on where it is called from.
MAX_DEPTH = 100


class JsonError(ValueError):
    """The text can't be decoded."""


def decode_json(decode: Callable[[bytes], _Decoded], raw: bytes) -> _Decoded:
    """Return what a decoder makes of a text.

    Raise :class:`JsonError` for any text that it can't decode.
    """
    try:
        return decode(raw)
    except RecursionError as error:
        raise JsonError('nested too deeply') from error
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise JsonError(str(error)) from error


def load_json(raw: bytes) -> object:
    """Return a document, with lists and dicts in place of its parts.

    Raise :class:`JsonError` unless it is JSON, nested at most
    :data:`MAX_DEPTH` deep.
    """
    document = decode_json(json.loads, raw)
    if _depth(document) > MAX_DEPTH:
        raise JsonError('nested too deeply')
    return document


def _depth(document: object) -> int:
    """Return the number of levels, without recursion."""
    depth = 0
    level = [document]
    while level and depth <= MAX_DEPTH:
        depth += 1
        level = [part for parent in level for part in _parts_of(parent)]
    return depth


def _parts_of(parent: object) -> list[object]:
    match parent:
        case dict():
            return list(parent.values())
        case list():
            return parent
        case _:
            return []
