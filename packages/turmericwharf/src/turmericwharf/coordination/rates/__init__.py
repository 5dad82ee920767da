"""Rates of organisations, by shares that nodes hold and lend."""
