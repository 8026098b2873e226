"""One caller's request: validation, deadline, stream, resume and claim."""
