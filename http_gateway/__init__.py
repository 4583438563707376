"""A load-balancing HTTP/1.1 gateway and its policy."""

__version__ = "0.1.0"
