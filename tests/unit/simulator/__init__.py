"""Unit tests of the simulator adapter."""
