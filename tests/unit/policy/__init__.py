"""Tests of the load-balancing policy; no test here does any I/O."""
