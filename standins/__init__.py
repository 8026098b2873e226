"""Small stand-ins for the outside systems: platform, engines, stores, services."""
