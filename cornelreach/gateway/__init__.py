"""The path of a request on the users' platform: routes, targets, forwarding."""
