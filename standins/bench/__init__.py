"""The measure tool: policies on the same schedule, over pure models in virtual time."""
