"""Helpers that several test files use."""
