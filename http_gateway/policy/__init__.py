"""The load-balancing policy: events and their time in, actions out.

Modules of this package are pure. They read no clock, do no I/O, start no task and share nothing between
instances: the same settings, seed and events give the same actions. Times are whole microseconds, marked by
the suffix `_us`; moments are readings of the caller's clock, which never runs backwards.
"""
