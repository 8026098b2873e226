"""User interface: the daemon and the operator's commands."""
