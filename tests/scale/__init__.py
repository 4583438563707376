"""Measures what one event costs a gateway in fleets of different sizes; started by hand."""
