"""Tests of prompt pieces, the cache directory and placement."""
