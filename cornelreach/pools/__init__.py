"""Owners of pools: the control call that places and admits a request."""
