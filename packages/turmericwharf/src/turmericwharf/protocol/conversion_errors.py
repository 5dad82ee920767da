"""Adds the invalid value and the valid ones to msgspec errors, which give only the path."""

import dataclasses
import enum
import re
from typing import Any, get_args, get_type_hints

_MESSAGE_WITH_PATH = re.compile(r'(?P<message>.*) - at `\$\.?(?P<path>[^`]*)`')
_PATH_STEP = re.compile(r'[^.\[\]]+')


def explain_conversion_error(error: Exception, plain: Any, expected: Any) -> str:
    """Return a message that names the path, the invalid value and what is expected.

    Parameters
    ----------
    error
        Error raised by msgspec.
    plain
        Decoded JSON whose conversion failed.
    expected
        Target type of the conversion.
    """
    match = _MESSAGE_WITH_PATH.fullmatch(str(error))
    if match is None:
        return str(error)
    path = match['path']
    for step in _PATH_STEP.findall(path):
        plain = _descend(plain, step)
        expected = _descend_type(expected, step)
    shown = redact_secret(path, plain)
    return f'{path} = {shown}: {_describe_choices(expected) or match["message"]}'


def redact_secret(path: str, actual: Any) -> str:
    """Return the representation of a value for a message, or only the length of a secret."""
    # An operator may have entered the token itself instead of its digest.
    is_secret = 'secret' in path or path.startswith('operator_digests')
    return f'({len(str(actual))} characters)' if is_secret else repr(actual)


def _descend(plain: Any, step: str) -> Any:
    # msgspec does not report the key of an invalid value in a mapping with arbitrary keys.
    if isinstance(plain, list):
        return plain[int(step)]
    return plain.get(step) if isinstance(plain, dict) else plain


def _descend_type(expected: Any, step: str) -> Any:
    if dataclasses.is_dataclass(expected):
        return get_type_hints(expected).get(step)
    return next(iter(get_args(expected)), None)


def _describe_choices(expected: Any) -> str:
    if not isinstance(expected, enum.EnumMeta):
        return ''
    choices = ', '.join(repr(member.value) for member in expected)  # type: ignore[var-annotated]
    return f'expected one of {choices}'
