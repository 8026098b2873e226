"""Generic parts that know nothing of serving: time, errors, log events, hashing."""
