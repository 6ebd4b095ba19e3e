"""Run a node whose wall clock is wrong by so many seconds."""

import sys
import time

from bergamotmount.platform.__main__ import run

_NS_PER_S = 1_000_000_000


def skew(offset_s: int) -> None:
    """Shift the wall clock of this process."""
    read_s, read_ns = time.time, time.time_ns
    time.time = lambda: read_s() + offset_s
    time.time_ns = lambda: read_ns() + offset_s * _NS_PER_S


if __name__ == '__main__':
    skew(int(sys.argv.pop(1)))
    run()
