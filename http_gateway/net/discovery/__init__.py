"""Discovery client: keeps the endpoint list up to date with a watch on the discovery service."""
