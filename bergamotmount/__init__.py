"""Overload control layer for service call graphs.

The package holds a daemon that runs beside each backend server, a separate
command-line tool for operators, and the coordination parts that both are
built from. The parts work on their own: they need no HTTP, no thrift and no
daemon, only a clock and the ports of :mod:`bergamotmount.ports`.
"""

__version__ = '0.1.0'
