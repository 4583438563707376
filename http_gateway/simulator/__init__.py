"""The policy behind the simulator's wire: many instances in one process, on a virtual clock."""
