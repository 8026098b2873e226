"""Fuzzing of what faces callers, targets, peers and operators."""
