"""Free TCP ports for the processes of companion programs.

A port stays free until its process binds it: it lies outside the range from
which the system takes ports of outgoing connections, and none is handed out
twice::

    first, second = free_addresses(2)
"""

import itertools
import os
import pathlib
import socket

LOOPBACK = '127.0.0.1'

_EPHEMERAL_RANGE = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
_DEFAULT_FIRST_EPHEMERAL = 32_768

#: First port that is handed out by any program.
FIRST_PORT = 10_000

#: Distance between the first ports of two programs, so that programs that run
#: side by side seldom try the same port at the same time.
PORTS_PER_PROGRAM = 256


class NoFreePortError(Exception):
    """All ports below the range for outgoing connections are in use."""


class PortAllocator:
    """Hands out ports of one host, each once."""

    def __init__(self, host: str = LOOPBACK) -> None:
        """Begin at a port that depends on the id of this process."""
        self._host = host
        end = first_ephemeral_port()
        span = max(end - FIRST_PORT, 1)
        start = FIRST_PORT + os.getpid() * PORTS_PER_PROGRAM % span
        self._ports = itertools.chain(
            range(start, end), range(FIRST_PORT, start)
        )

    def take(self) -> int:
        """Return a free port; raise :class:`NoFreePortError` if none is."""
        for port in self._ports:
            if self._is_free(port):
                return port
        raise NoFreePortError(f'no free port at {self._host}')

    def _is_free(self, port: int) -> bool:
        with socket.socket() as probe:
            try:
                probe.bind((self._host, port))
            except OSError:
                return False
        return True


def first_ephemeral_port() -> int:
    """Return the first port that outgoing connections may get."""
    try:
        first, _ = _EPHEMERAL_RANGE.read_text(encoding='ascii').split()
    except (OSError, ValueError):
        return _DEFAULT_FIRST_EPHEMERAL
    return int(first)


_loopback_ports = PortAllocator()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with unused ports, never one twice."""
    return [f'{LOOPBACK}:{_loopback_ports.take()}' for _ in range(count)]
