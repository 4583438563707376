"""Integration tests, which use loopback sockets or run the programs as subprocesses."""
