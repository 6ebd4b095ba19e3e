"""Overload control layer for service call graphs.

The package contains a daemon that runs beside each backend server, a
command-line tool for operators, and the coordination components that both are
built from. These components can be embedded without HTTP, thrift or the
daemon: they need only a clock and the ports of :mod:`bergamotmount.ports`.
"""

__version__ = '0.1.0'
