"""Tests without sockets."""
