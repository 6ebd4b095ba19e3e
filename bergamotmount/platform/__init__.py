"""Adapter for the platform that nodes are deployed on.

This package is the only place that knows the platform's topics, paths, header
names and settings. It converts them into the types of
:mod:`bergamotmount.forwarding` and contains no other logic.
"""
