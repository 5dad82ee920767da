"""The way of a request: admission, choice of a server, attempts, ejection."""
