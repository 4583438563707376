"""HTTP/1.1 messages, read from and written to bytes; no I/O but the shared receive buffer."""
