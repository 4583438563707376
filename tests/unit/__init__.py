"""Unit tests, which open no sockets."""
