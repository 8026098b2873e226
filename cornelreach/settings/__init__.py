"""Desired configuration: items, validation rules, revisions and effective values."""
