"""Execution of requests on the backend server beside the node."""
