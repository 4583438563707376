"""Tests over loopback sockets and of the programs."""
