"""Tests of the HTTP shells."""
