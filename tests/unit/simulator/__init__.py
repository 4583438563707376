"""Unit tests of the simulator's adapter."""
