"""gRPC transport between instances, and its TLS credentials."""
