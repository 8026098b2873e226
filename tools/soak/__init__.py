"""A soak test that injects random faults into real processes on one machine."""
