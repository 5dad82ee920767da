"""Node process of turmericwharf."""
