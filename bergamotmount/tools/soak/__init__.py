"""Soak: real node processes under seeded faults, checked from outside.

Each node is a process as in production. The store, the backend servers and the
callers are stand-ins in the process of the soak. Servers shed, lose, truncate
and repeat responses; nodes are stopped, killed, paused and told to reload;
servers leave. What callers and servers have seen is checked at the end::

    python -m bergamotmount.tools.soak --seed 7 --seconds 30
"""
