"""HTTP/1.1 message parsing and serialization, and the receive buffer that all connections share."""
