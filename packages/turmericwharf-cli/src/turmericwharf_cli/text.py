"""Formats the content of a response as plain text."""

from collections.abc import Iterator
from typing import Any

_INDENT = '  '


def to_text(content: Any) -> str:
    """Return nested values as indented lines."""
    return '\n'.join(_format_lines(content, ''))


def _format_lines(content: Any, indent: str) -> Iterator[str]:
    entries = content.items() if isinstance(content, dict) else enumerate(content)
    for name, value in entries:
        label = f'{name}:' if isinstance(content, dict) else '-'
        if isinstance(value, dict | list) and value:
            yield f'{indent}{label}'
            yield from _format_lines(value, f'{indent}{_INDENT}')
        else:
            yield f'{indent}{label} {_format_scalar(value)}'


def _format_scalar(value: Any) -> str:
    if value is None:
        return '-'
    return 'none' if value in ([], {}) else str(value)
