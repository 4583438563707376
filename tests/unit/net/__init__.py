"""Unit tests of the network code."""
