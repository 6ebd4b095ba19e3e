"""Organisations: the customers that requests belong to.

A policy record may name organisations, each with its keys, a priority and a
quota. :mod:`~bergamotmount.organisations.identity` finds the organisation of
a request by its key, :mod:`~bergamotmount.organisations.freshness` tells
whether the policy is recent enough to accept a key at all, and the remaining
modules keep the requests of an organisation within its quota over all nodes.
"""
