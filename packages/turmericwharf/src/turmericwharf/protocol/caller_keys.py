"""Extracts callers' keys from the key headers and detects keys anywhere else in a request."""

import hashlib
import re
from collections.abc import Iterable, Iterator
from urllib.parse import unquote_to_bytes

from turmericwharf.state import Headers, KeyDigest

KEY_HEADERS = frozenset(('authorization', 'x-api-key'))
_BEARER_PREFIX = 'bearer '
# Matches any issued key, including one other than the key that authenticates the request.
_ISSUED_KEY_PATTERN = re.compile(rb'tw_[0-9a-f]{24}_[a-z0-9_-]{43}', re.IGNORECASE)
_JSON_ESCAPE = re.compile(rb'\\u00([0-9a-fA-F]{2})')
# Only these escapes can encode a character of a key or a percent sign.
_RELEVANT_ESCAPE = re.compile(rb'%(?:2[5dD]|[3-7][0-9a-fA-F])|\\u00[2-7][0-9a-fA-F]')
# No known server decodes more levels of percent-encoding than this.
_MAX_DECODING_LEVELS = 4


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest under which the configuration stores a key."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def find_key(headers: Headers) -> str:
    """Return the key of a request, or an empty string if it has none.

    Raises
    ------
    ValueError
        If the headers contain different keys.
    """
    keys = {key for name, text in headers if (key := _parse_key_header(name.lower(), text.strip()))}
    if len(keys) > 1:
        raise ValueError('Authorization and X-Api-Key contain different keys; send only one')
    return keys.pop() if keys else ''


def is_key_misplaced(key: str, target: str, headers: Headers, body: bytes) -> bool:
    """Whether a key occurs outside the key headers, in plain or encoded form.

    Parameters
    ----------
    key
        The key of the request, or an empty string if it has none.
    headers
        All headers of the request; the contents of the key headers are skipped.
    """
    texts = (target, *_searchable_texts(headers))
    searched = [text.encode('utf-8', 'surrogateescape') for text in texts]
    return any(_contains_key(key.encode().lower(), content) for content in (*searched, body))


def _parse_key_header(name: str, text: str) -> str:
    if name == 'x-api-key':
        return text
    is_bearer = name == 'authorization' and text.lower().startswith(_BEARER_PREFIX)
    return text[len(_BEARER_PREFIX) :].strip() if is_bearer else ''


def _searchable_texts(headers: Headers) -> Iterator[str]:
    for name, text in headers:
        yield name
        if name.lower() not in KEY_HEADERS:
            yield text


def _contains_key(key: bytes, content: bytes) -> bool:
    return any(
        _ISSUED_KEY_PATTERN.search(decoded) is not None or (key and key in decoded.lower())
        for decoded in _decoded_forms(content)
    )


def _decoded_forms(content: bytes) -> Iterable[bytes]:
    yield content
    for _level in range(_MAX_DECODING_LEVELS):
        if _RELEVANT_ESCAPE.search(content) is None:
            return
        content = _JSON_ESCAPE.sub(_unescape, unquote_to_bytes(content))
        yield content


def _unescape(escape: re.Match[bytes]) -> bytes:
    return bytes.fromhex(escape.group(1).decode())
