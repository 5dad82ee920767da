"""Fleet-wide rate limits of organisations, divided into shares that nodes hold and lend."""
