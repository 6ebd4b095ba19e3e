"""Limits of a process, and the shares of them that its parts may use.

::

    limits = ProcessLimits(memory_mb=300, max_fds=4100)
    limits.account_bytes      # 120 MB for what is held for others
    limits.max_callers        # 1950 connections of callers
"""

import dataclasses
import resource

#: Share of the memory that may be held for others. The rest is for the
#: interpreter, the policy, bytes in the kernel, and copies while a body is
#: passed on.
ACCOUNT_SHARE = 0.4

#: Descriptors kept for files.
FILE_FDS = 200

#: Shares of the other descriptors: connections of callers, inbound connections
#: of nodes, and those to the control, readiness or metrics address, each. The
#: rest is for links, the store and the backend server.
CALLER_SHARE = 0.5
PEER_SHARE = 0.2
DOOR_SHARE = 0.02

#: Minimum number of connections of each sort.
MIN_CONNECTIONS = 4

_BYTES_PER_MB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Memory and descriptors that this process may use."""

    memory_mb: float = 300
    max_fds: int = 4100

    def within_system(self) -> 'ProcessLimits':
        """Return these limits, or the system's where that is lower."""
        soft_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_fds == resource.RLIM_INFINITY or soft_fds >= self.max_fds:
            return self
        return dataclasses.replace(self, max_fds=soft_fds)

    @property
    def account_bytes(self) -> int:
        """Maximum memory held for callers, servers, peers and operators."""
        return int(self.memory_mb * ACCOUNT_SHARE * _BYTES_PER_MB)

    @property
    def max_callers(self) -> int:
        """Maximum number of connections of callers."""
        return self._connections(CALLER_SHARE)

    @property
    def max_peers(self) -> int:
        """Maximum number of connections that other nodes open."""
        return self._connections(PEER_SHARE)

    @property
    def max_door_connections(self) -> int:
        """Maximum number of connections to each of the other addresses."""
        return self._connections(DOOR_SHARE)

    def _connections(self, share: float) -> int:
        sockets = max(self.max_fds - FILE_FDS, 0)
        return max(int(sockets * share), MIN_CONNECTIONS)
