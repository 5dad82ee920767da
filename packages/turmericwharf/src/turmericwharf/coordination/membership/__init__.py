"""Membership of the fleet, gossip between nodes, and each node's right to serve callers."""
