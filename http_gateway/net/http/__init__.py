"""HTTP/1.1 messages, read from and written to bytes, and the receive buffer of all connections."""
