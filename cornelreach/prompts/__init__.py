"""Prompt pieces, cache directory, placement, tiers and links."""
