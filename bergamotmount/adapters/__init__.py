"""Adapters: HTTP clients, HTTP servers and metrics that implement the ports."""
