"""Fuzz tests of input from callers, targets, peers and operators."""
