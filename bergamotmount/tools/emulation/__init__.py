"""Emulation of a deployment: a call graph with its nodes, in one process.

Nodes are real :class:`~bergamotmount.forwarding.node.ForwardingNode` objects.
The network, the backend servers and the callers are emulated in virtual time:
a scenario runs faster than real time and is deterministic for a given seed::

    python -m bergamotmount.tools.emulation fleet --scenario storm

It is meant for comparing overload control algorithms. It does not reproduce
any particular deployment.
"""
