"""The operator's commands: short functions that call the core."""
