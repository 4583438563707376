"""Test helpers that several test modules share."""
