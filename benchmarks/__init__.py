"""Demonstration, model checks, soak tests and benchmarks."""
