"""Companion programs: stand-ins, demo and benchmarks."""
