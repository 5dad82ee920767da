"""Says where a value is wrong, what it is and what is valid; msgspec names the place only."""

import dataclasses
import enum
import re
from typing import Any, get_args, get_type_hints

_PLACE = re.compile(r'(?P<message>.*) - at `\$\.?(?P<place>[^`]*)`')
_STEP = re.compile(r'[^.\[\]]+')


def explain_conversion_error(error: Exception, plain: Any, expected: Any) -> str:
    """Return a message for an error of msgspec.

    Parameters
    ----------
    error
        The error.
    plain
        Decoded JSON that could not be converted.
    expected
        Type that it was converted to.
    """
    named = _PLACE.fullmatch(str(error))
    if named is None:
        return str(error)
    place = named['place']
    for step in _STEP.findall(place):
        plain = _found_at(plain, step)
        expected = _type_at(expected, step)
    shown = redact_secret(place, plain)
    return f'{place} = {shown}: {_valid_choices(expected) or named["message"]}'


def redact_secret(place: str, found: Any) -> str:
    """Return a value for a message, without showing a secret."""
    # A token may stand where its digest belongs.
    is_secret = 'secret' in place or place.startswith('operator_digests')
    return f'({len(str(found))} characters)' if is_secret else repr(found)


def _found_at(plain: Any, step: str) -> Any:
    # The place of a value in a mapping with free names is not given exactly.
    if isinstance(plain, list):
        return plain[int(step)]
    return plain.get(step) if isinstance(plain, dict) else plain


def _type_at(expected: Any, step: str) -> Any:
    if dataclasses.is_dataclass(expected):
        return get_type_hints(expected).get(step)
    return next(iter(get_args(expected)), None)


def _valid_choices(expected: Any) -> str:
    if not isinstance(expected, enum.EnumMeta):
        return ''
    choices = ', '.join(repr(member.value) for member in expected)  # type: ignore[var-annotated]
    return f'valid are {choices}'
