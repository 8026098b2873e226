"""Messages between instances and the gRPC shell that carries them."""
