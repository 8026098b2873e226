"""Client of the platform's object API: budget, conditional writes, watches, leases."""
