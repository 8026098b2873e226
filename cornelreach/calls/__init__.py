"""Handling of callers' requests: validation, streams, resumption and claims."""
