"""Removes the headers that a proxy does not forward."""

from turmericwharf.state import Headers

# Headers that apply to a single connection and that a proxy must not forward.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    ),
)


def strip_hop_by_hop_headers(headers: Headers, *, keep_length: bool = False) -> Headers:
    """Return the headers that a proxy forwards.

    Parameters
    ----------
    keep_length
        Whether to keep `Content-Length`, for responses that arrive without their body.
    """
    kept_names = {'content-length'} if keep_length else set()
    stripped = HOP_BY_HOP_HEADERS - kept_names
    return tuple(pair for pair in headers if pair[0].lower() not in stripped)
