"""The load-balancing policy, which takes events and returns the actions to execute.

The modules of this package are pure: they read no clock, do no I/O, start no tasks and share no state
between instances. The same settings, seed and events therefore always give the same actions. All times are
whole microseconds, marked by the suffix `_us`. Points in time are readings of the caller's clock, which must
never run backwards.
"""
