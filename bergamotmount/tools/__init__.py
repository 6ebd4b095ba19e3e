"""Companion programs: stubs, load generator, demo and benchmarks."""
