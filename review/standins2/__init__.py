"""Stand-ins for clients, hosts and discovery, and a runner for gateway processes, for the cases 6 to 10."""
