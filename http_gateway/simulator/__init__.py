"""Adapter that runs many policy instances in one process for a simulator, on the simulator's clock."""
