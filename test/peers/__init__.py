"""Tests of cornelreach.peers."""
