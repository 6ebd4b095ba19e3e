"""Addresses of nodes, ``ip:port``, as other nodes and operators write them."""

import functools
import ipaddress

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5

#: Number of addresses whose check is remembered.
_CACHED_ADDRESSES = 4096


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port that can be dialled."""
    is_number = text.isascii() and text.isdecimal()
    return (
        is_number
        and len(text) <= _MAX_PORT_DIGITS
        and 1 <= int(text) <= MAX_PORT
    )


@functools.lru_cache(_CACHED_ADDRESSES)
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
