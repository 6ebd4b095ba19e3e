"""Emulation of a whole call graph with the product's own nodes.

Nodes are real :class:`~bergamotmount.forwarding.node.ForwardingNode` objects;
network, servers and callers are played under virtual time, so a scenario
gives the same result each time, faster than it would take in reality::

    python -m bergamotmount.tools.emulation fleet --scenario storm

It serves to compare ways of deciding; it is no copy of any deployment.
"""
