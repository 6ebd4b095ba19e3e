"""Checks of fields that somebody else has written.

Whatever isn't usable is found where it is read, before it is passed on to other
nodes, dialled, or written into a header or the log.
"""

import functools
import ipaddress
import math
import re

MAX_PORT = 65_535

#: Maximum length of a name, in characters.
MAX_NAME_CHARS = 255

#: Largest incarnation or version. Times of the far future are below it, and
#: messages between nodes can carry more.
MAX_VERSION = 2**62

#: What is not printable, and what stands for bytes that are no text.
_UNPRINTABLE = r'\x00-\x1f\x7f\ufffd'

#: Pattern of printable text without a space at either end.
PRINTABLE = rf'^[^\s{_UNPRINTABLE}]([^{_UNPRINTABLE}]*[^\s{_UNPRINTABLE}])?\Z'

_MAX_PORT_DIGITS = 5

#: Number of texts whose check is remembered.
_CACHED_TEXTS = 4096

_printable = re.compile(PRINTABLE)


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port that can be dialled."""
    is_number = text.isascii() and text.isdecimal()
    return (
        is_number
        and len(text) <= _MAX_PORT_DIGITS
        and 1 <= int(text) <= MAX_PORT
    )


@functools.lru_cache(_CACHED_TEXTS)
def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port.

    ::

        >>> is_address('10.0.0.1:7620'), is_address('10.0.0.1:99999')
        (True, False)
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return is_port(port)


@functools.lru_cache(_CACHED_TEXTS)
def is_name(text: str) -> bool:
    """Return whether a text can name a node, a server, a service and so on."""
    is_short = len(text) <= MAX_NAME_CHARS
    return is_short and _printable.match(text) is not None


def is_amount(number: float) -> bool:
    """Return whether a number is 0 or more, and finite."""
    return number >= 0 and math.isfinite(number)
