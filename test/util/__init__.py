"""Tests of the generic parts."""
