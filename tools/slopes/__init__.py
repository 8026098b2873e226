"""Measurements of ``measure_slopes`` and their linear fits."""
