"""A seeded soak of real gateway processes under faults, judged by what clients and endpoints saw."""
