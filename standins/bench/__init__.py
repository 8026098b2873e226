"""Compares routing policies on one schedule, on models without I/O in virtual time."""
