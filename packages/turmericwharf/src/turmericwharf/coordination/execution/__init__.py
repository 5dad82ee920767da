"""Work at the backend server beside a node."""
