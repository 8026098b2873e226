"""Tests of cornelreach.http."""
