"""At-most-once runs across nodes, by claims on the log."""
