"""Adapters that fill the ports: HTTP on the outer sides."""
