"""Desired configuration: its items, rules, revisions and effective values."""
