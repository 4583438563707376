"""Discovery client, which keeps the endpoint list up to date through a watch on the discovery service."""
