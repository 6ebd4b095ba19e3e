"""Hashes of texts that are the same on every node."""

import xxhash


def hash64(text: str) -> int:
    """Return a number from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(text.encode())


def hash32(text: str) -> int:
    """Return a number from 0 to 2**32 - 1."""
    return xxhash.xxh32_intdigest(text.encode())
