"""Tests of the transport between instances."""
