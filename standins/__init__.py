"""Simulated external systems for tests: platform, engines, stores and services."""
