"""Metrics, and burn rates of service-level objectives."""
