"""Decodes settings from JSON and validates them."""

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
from turmericwharf.protocol.json_decoding import decode_json
from turmericwharf.protocol.unknown_fields import find_unknown_fields
from turmericwharf.state import NodeSettings, Reason, SettingsFailure

_MIN_SECRET_LENGTH = 32
# The records that decide a claim are up to twice the hold time older than the claim. The third
# hold time is a margin for a reader that lags behind.
_RETENTION_FACTOR = 3
_MAX_PORT = 65535
_IDENTIFIER_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_DIGEST_PATTERN = re.compile('[0-9a-f]{64}')


@dataclasses.dataclass(frozen=True, slots=True)
class _Rule:
    """Constraint on the value of a field."""

    is_valid: Callable[[Any], bool]
    expected: str


def _is_address(host: Any) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


_PORT = _Rule(lambda port: 0 < port <= _MAX_PORT, f'a port from 1 to {_MAX_PORT}')
_POSITIVE = _Rule(lambda number: 0 < number < math.inf, 'a positive finite number')
_IDENTIFIER = _Rule(
    lambda name: bool(_IDENTIFIER_PATTERN.fullmatch(name)),
    '1 to 128 letters, digits, ".", "_" or "-", starting with a letter or digit',
)
# Rules by the last word of a field name, which indicates the kind of value.
_RULES_BY_WORD = MappingProxyType(
    {
        'port': _PORT,
        'seconds': _POSITIVE,
        'bytes': _POSITIVE,
        'length': _POSITIVE,
        'attempts': _POSITIVE,
        'megabytes': _POSITIVE,
        'descriptors': _Rule(lambda number: number >= 0, 'a number of at least 0'),
        'peers': _POSITIVE,
        'fraction': _Rule(lambda number: 0 <= number <= 1, 'a number from 0 to 1'),
        'host': _Rule(_is_address, 'an IP address'),
        'url': _Rule(
            lambda url: url.startswith(('http://', 'https://')),
            'a URL that starts with http:// or https://',
        ),
        'instance': _IDENTIFIER,
        'centre': _IDENTIFIER,
        'secret': _Rule(
            lambda secret: len(secret) >= _MIN_SECRET_LENGTH,
            f'at least {_MIN_SECRET_LENGTH} characters',
        ),
    },
)
_DIGEST_RULE = _Rule(
    lambda digest: bool(_DIGEST_PATTERN.fullmatch(digest)),
    'the SHA-256 digest of the token as 64 lowercase hexadecimal digits',
)


def decode_settings(encoded: bytes) -> NodeSettings | SettingsFailure:
    """Decode and validate settings; a failure names the field, its value and the valid values."""
    try:
        plain = decode_json(encoded)
    except msgspec.DecodeError as error:
        return SettingsFailure(Reason.SETTINGS_INVALID, f'invalid JSON: {error}')
    unknown = next(find_unknown_fields(_redact_secrets(plain), NodeSettings), None)
    if unknown is not None:
        return SettingsFailure(Reason.SETTINGS_INVALID, unknown)
    try:
        settings = msgspec.convert(plain, type=NodeSettings)
    except msgspec.ValidationError as error:
        detail = explain_conversion_error(error, plain, NodeSettings)
        return SettingsFailure(Reason.SETTINGS_INVALID, detail)
    violation = next(_violations(settings), None)
    return settings if violation is None else SettingsFailure(Reason.SETTINGS_INVALID, violation)


def _violations(settings: NodeSettings) -> Iterator[str]:
    for path, actual in _iterate_leaves(msgspec.to_builtins(settings), ''):
        word = re.split('[._]', path)[-1]
        rule = _DIGEST_RULE if path.startswith('operator_digests.') else _RULES_BY_WORD.get(word)
        if rule is not None and actual is not None and not rule.is_valid(actual):
            yield f'{path} = {redact_secret(path, actual)}: expected {rule.expected}'
    min_retention_seconds = _RETENTION_FACTOR * hold_seconds_of(settings.limits)
    if settings.log.retention_seconds < min_retention_seconds:
        claim_seconds = settings.limits.claim_retention_seconds
        expected = (
            f'at least {min_retention_seconds}, '
            f'because limits.claim_retention_seconds is {claim_seconds}'
        )
        yield f'log.retention_seconds = {settings.log.retention_seconds}: expected {expected}'


def _iterate_leaves(plain: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(plain, dict):
        for name, actual in plain.items():
            yield from _iterate_leaves(actual, f'{path}.{name}' if path else name)
    elif isinstance(plain, list | tuple):
        for index, actual in enumerate(plain):
            yield from _iterate_leaves(actual, f'{path}[{index}]')
    else:
        yield path, plain


def _redact_secrets(plain: Any) -> Any:
    if not isinstance(plain, dict):
        return plain
    return {
        name: redact_secret(name, actual) if 'secret' in name else actual
        for name, actual in plain.items()
    }
