"""Client side of the gateway: accepts connections, reads requests and writes one response to each."""
