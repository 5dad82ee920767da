"""Reads settings from JSON and checks them."""

import dataclasses
import ipaddress
import math
import re
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any

import msgspec

from turmericwharf.coordination import hold_seconds_of
from turmericwharf.protocol.conversion_errors import explain_conversion_error, redact_secret
from turmericwharf.protocol.unknown_fields import find_unknown_fields
from turmericwharf.state import NodeSettings, Reason, SettingsFailure

_MINIMUM_SECRET_LENGTH = 32
# A claim is decided by records of up to twice the hold time before it; the third part is for
# a reader that is late.
_RETENTION_FACTOR = 3
_HIGHEST_PORT = 65535
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_DIGEST = re.compile('[0-9a-f]{64}')


@dataclasses.dataclass(frozen=True, slots=True)
class _Rule:
    """What the value of a field must be like."""

    is_valid: Callable[[Any], bool]
    valid: str


def _is_address(host: Any) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


_PORT = _Rule(lambda port: 0 < port <= _HIGHEST_PORT, f'a port from 1 to {_HIGHEST_PORT}')
_ABOVE_ZERO = _Rule(lambda number: 0 < number < math.inf, 'a finite number above 0')
_IDENTIFIER = _Rule(
    lambda name: bool(_NAME.fullmatch(name)),
    '1 to 128 letters, digits, ".", "_" or "-", with a letter or digit first',
)
# The last word of a field's name says what it holds.
_RULES_BY_WORD = MappingProxyType(
    {
        'port': _PORT,
        'seconds': _ABOVE_ZERO,
        'bytes': _ABOVE_ZERO,
        'length': _ABOVE_ZERO,
        'attempts': _ABOVE_ZERO,
        'peers': _ABOVE_ZERO,
        'fraction': _Rule(lambda number: 0 <= number <= 1, 'a number from 0 to 1'),
        'host': _Rule(_is_address, 'an IP address'),
        'url': _Rule(
            lambda url: url.startswith(('http://', 'https://')),
            'a URL that starts with http:// or https://',
        ),
        'instance': _IDENTIFIER,
        'centre': _IDENTIFIER,
        'secret': _Rule(
            lambda secret: len(secret) >= _MINIMUM_SECRET_LENGTH,
            f'at least {_MINIMUM_SECRET_LENGTH} characters',
        ),
    },
)
_DIGEST_RULE = _Rule(
    lambda digest: bool(_DIGEST.fullmatch(digest)),
    'SHA-256 of the token in 64 lower-case hexadecimal digits',
)


def decode_settings(encoded: bytes) -> NodeSettings | SettingsFailure:
    """Decode and check settings; a failure names the field, its value and what is valid."""
    try:
        plain = msgspec.json.decode(encoded)
    except msgspec.DecodeError as error:
        return SettingsFailure(Reason.SETTINGS_INVALID, f'not JSON: {error}')
    unknown = next(find_unknown_fields(_without_secrets(plain), NodeSettings), None)
    if unknown is not None:
        return SettingsFailure(Reason.SETTINGS_INVALID, unknown)
    try:
        settings = msgspec.convert(plain, type=NodeSettings)
    except msgspec.ValidationError as error:
        detail = explain_conversion_error(error, plain, NodeSettings)
        return SettingsFailure(Reason.SETTINGS_INVALID, detail)
    fault = next(_faults(settings), None)
    return settings if fault is None else SettingsFailure(Reason.SETTINGS_INVALID, fault)


def _faults(settings: NodeSettings) -> Iterator[str]:
    for place, found in _leaves(msgspec.to_builtins(settings), ''):
        word = re.split('[._]', place)[-1]
        rule = _DIGEST_RULE if place.startswith('operator_digests.') else _RULES_BY_WORD.get(word)
        if rule is not None and found is not None and not rule.is_valid(found):
            yield f'{place} = {redact_secret(place, found)}: valid is {rule.valid}'
    needed = _RETENTION_FACTOR * hold_seconds_of(settings.limits)
    if settings.log.retention_seconds < needed:
        claims = settings.limits.claim_retention_seconds
        valid = f'at least {needed}, as limits.claim_retention_seconds is {claims}'
        yield f'log.retention_seconds = {settings.log.retention_seconds}: valid is {valid}'


def _leaves(plain: Any, place: str) -> Iterator[tuple[str, Any]]:
    if isinstance(plain, dict):
        for name, found in plain.items():
            yield from _leaves(found, f'{place}.{name}' if place else name)
    elif isinstance(plain, list | tuple):
        for number, found in enumerate(plain):
            yield from _leaves(found, f'{place}[{number}]')
    else:
        yield place, plain


def _without_secrets(plain: Any) -> Any:
    if not isinstance(plain, dict):
        return plain
    return {
        name: redact_secret(name, found) if 'secret' in name else found
        for name, found in plain.items()
    }
