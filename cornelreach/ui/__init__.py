"""Entry points and user interface: the daemons and the operators' commands."""
