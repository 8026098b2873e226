"""A randomized fault soak: real programs as processes on one machine."""
