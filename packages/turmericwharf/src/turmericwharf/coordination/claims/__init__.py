"""At-most-once execution across nodes, by claims in the log."""
