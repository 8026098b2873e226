"""Targets: admission permits, cold start, fairness, breakers and orders."""
