"""Simulation, in virtual time, of a fleet of gateways that share a set of endpoints."""
