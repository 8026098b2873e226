"""General-purpose modules without serving logic: time, errors, log events, hashing."""
