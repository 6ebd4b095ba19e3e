"""TCP keep-alive of connections to servers."""

import socket

#: TCP keep-alive probes, which detect a dead peer behind an open connection:
#: idle time and interval in seconds, and number of probes.
TCP_KEEP_ALIVE_S = 1
TCP_KEEP_ALIVE_PROBES = 2


def enable_tcp_keep_alive(opened: socket.socket | None) -> None:
    """Enable TCP keep-alive, which detects a dead peer within seconds."""
    if opened is None:
        return
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBES)
