"""Tests of the user interface."""
