"""Network side of the gateway: client connections, endpoint connections, discovery and configuration."""
