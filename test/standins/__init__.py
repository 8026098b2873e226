"""Tests of the stand-ins for external systems."""
