"""Tests of the entry points and the user interface."""
