"""Prompt pieces, cache directory, placement, copies in stores, and links."""
