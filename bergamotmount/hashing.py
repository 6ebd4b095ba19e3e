"""Hashes of strings that are the same on every node and in every run."""

import xxhash


def hash64(text: str) -> int:
    """Return a hash from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(text.encode())


def hash32(text: str) -> int:
    """Return a hash from 0 to 2**32 - 1."""
    return xxhash.xxh32_intdigest(text.encode())
