"""Tests of the general-purpose modules."""
