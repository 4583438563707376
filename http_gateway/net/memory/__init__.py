"""Limits on the memory that peers make the gateway hold, and the memory of the process."""
