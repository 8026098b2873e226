"""Service-level burn and metrics."""
