"""Tests of pool ownership, rollouts and access to targets."""
