"""Connections to endpoints, and the attempts that are sent on them."""
