"""Tests of the reports package."""
