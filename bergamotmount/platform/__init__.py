"""Adapter for the users' platform: translates its names, and nothing else.

Everything that the platform spells in its own way is decoded here, once, into
the types of :mod:`bergamotmount.forwarding`.
"""
