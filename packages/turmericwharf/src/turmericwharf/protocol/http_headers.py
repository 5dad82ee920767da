"""Reads callers' headers and strips what no backend server may see."""

from turmericwharf.protocol.caller_keys import (
    KEY_HEADERS,
    digest_key,
    find_key,
    is_key_misplaced,
)
from turmericwharf.state import (
    Headers,
    RequestId,
    ExecutionSemantics,
    new_identifier,
)
from turmericwharf.state.requests import CallerRequest

DEADLINE_HEADER = 'Turmericwharf-Deadline-Ms'
RUN_HEADER = 'Turmericwharf-Run'
REQUEST_HEADER = 'Turmericwharf-Request-Id'
OUTCOME_HEADER = 'Turmericwharf-Outcome'
SERVES_HEADER = 'Turmericwharf-Serves'
SHED_HEADER = 'Turmericwharf-Shed'

# Headers of one connection, which do not pass a proxy.
_CONNECTION_HEADERS = frozenset(
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
_OWN_HEADERS = frozenset(
    name.lower() for name in (DEADLINE_HEADER, RUN_HEADER, SERVES_HEADER, REQUEST_HEADER)
)
_STRIPPED_HEADERS = _CONNECTION_HEADERS | _OWN_HEADERS | KEY_HEADERS


def read_caller_request(
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    *,
    from_service: bool = False,
) -> CallerRequest:
    """Return a caller's request without its key.

    Raises
    ------
    ValueError
        If the headers hold different keys, the deadline header is not a positive number, or the
        run header is unknown.
    """
    by_name = {name.lower(): text for name, text in headers}
    key = find_key(headers)
    is_misplaced = is_key_misplaced(key, target, headers, body)
    if is_misplaced:
        # The other headers are not looked at, since messages on their values would show the key.
        by_name = {}
    kept = tuple(pair for pair in headers if pair[0].lower() not in _STRIPPED_HEADERS)
    return CallerRequest(
        request=RequestId(new_identifier()),
        method=method,
        target=target,
        headers=kept,
        body=body,
        key_digest=digest_key(key) if key else None,
        key_misplaced=is_misplaced,
        idempotency_key=by_name.get('idempotency-key'),
        run=_read_run(by_name),
        remaining_milliseconds=_read_deadline(by_name),
        serves=_read_serves(by_name),
        from_service=from_service,
    )


def strip_hop_by_hop_headers(headers: Headers, *, keep_length: bool = False) -> Headers:
    """Return the headers that pass a proxy.

    Parameters
    ----------
    keep_length
        Whether the length of the body is kept, for answers that come without their body.
    """
    kept_names = {'content-length'} if keep_length else set()
    stripped = _CONNECTION_HEADERS - kept_names
    return tuple(pair for pair in headers if pair[0].lower() not in stripped)


def _read_run(by_name: dict[str, str]) -> ExecutionSemantics:
    text = by_name.get(RUN_HEADER.lower(), ExecutionSemantics.REPEATABLE.value)
    valid = [target.value for target in ExecutionSemantics]
    if text not in valid:
        raise ValueError(f'{RUN_HEADER} must be one of {valid}, not {text!r}')
    return ExecutionSemantics(text)


def _read_deadline(by_name: dict[str, str]) -> float | None:
    text = by_name.get(DEADLINE_HEADER.lower())
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = 0
    if not 0 < milliseconds < float('inf'):
        raise ValueError(f'{DEADLINE_HEADER} must be a positive number, not {text!r}')
    return milliseconds


def _read_serves(by_name: dict[str, str]) -> RequestId | None:
    serves = by_name.get(SERVES_HEADER.lower())
    return RequestId(serves) if serves else None
