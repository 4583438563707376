"""Tests of the gateway, its policy and the simulator adapter."""
