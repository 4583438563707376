"""Unit tests of the load-balancing policy, which performs no I/O."""
