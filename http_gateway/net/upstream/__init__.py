"""Connections to endpoints, and the attempts made on them."""
