"""Benchmarks, fuzzing, soak tests and maintenance tools."""
