"""Proxy fleet that routes requests around backend servers with gray failures."""
