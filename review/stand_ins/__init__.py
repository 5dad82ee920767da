"""Stand-ins for the platform, the backend servers and the clients of the review cases."""
