"""Unit tests of the network code, which need no connection."""
