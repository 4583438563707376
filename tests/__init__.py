"""Tests of the gateway, the load-balancing policy and the simulator adapter."""
