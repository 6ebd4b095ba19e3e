"""Incarnation numbers, which grow with each start of a node."""

import secrets
import time

_RANDOM_BITS = 12
_NS_PER_MS = 1_000_000


def new_incarnation() -> int:
    """Return a number greater than that of any earlier start."""
    milliseconds = time.time_ns() // _NS_PER_MS
    return (milliseconds << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS)
