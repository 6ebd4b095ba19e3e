"""Fault soak: the real nodes as processes, with faults from outside them.

Nodes run as separate processes; backend servers, callers, the platform's
store and the proxies between them run in this one, so that it knows what was
sent, what ran and what was answered::

    python -m bergamotmount.tools.soak --seeds 5 --seconds 20

Faults are drawn from the seed, come in series and overlap. What the product
promises is checked from what callers and servers saw.
"""
