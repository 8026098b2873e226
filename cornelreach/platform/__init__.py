"""Access to the platform: object API client, rate limits, leases and decoders."""
