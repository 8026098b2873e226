"""Request routing on the users' platform: routes, target selection, forwarding."""
