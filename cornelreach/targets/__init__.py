"""Targets: admission permits, cold start, fair queueing, breakers and orders."""
