"""Forwarding of plain HTTP requests by host and path to backend servers."""
