"""A fleet of gateways in front of the same endpoints, simulated in virtual time."""
