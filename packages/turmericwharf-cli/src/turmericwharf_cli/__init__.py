"""Command-line interface of turmericwharf for operators."""
