"""Which nodes and servers there are, and who may take callers."""
