"""Discovery: the endpoint list, and the watch that keeps it fresh."""
