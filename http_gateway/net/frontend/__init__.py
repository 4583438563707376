"""Client connections: requests in, one response each."""
