"""Request routing: admission, server selection, attempts with retries, and outlier ejection."""
