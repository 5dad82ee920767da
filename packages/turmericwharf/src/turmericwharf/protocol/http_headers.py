"""Parses the headers of callers."""

from turmericwharf.protocol.caller_keys import (
    KEY_HEADERS,
    digest_key,
    find_key,
    is_key_misplaced,
)
from turmericwharf.protocol.hop_headers import HOP_BY_HOP_HEADERS
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
SERVES_HEADER = 'Turmericwharf-Serves'
SHED_HEADER = 'Turmericwharf-Shed'

_TURMERICWHARF_HEADERS = frozenset(
    name.lower() for name in (DEADLINE_HEADER, RUN_HEADER, SERVES_HEADER, REQUEST_HEADER)
)
_STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | _TURMERICWHARF_HEADERS | KEY_HEADERS


def read_caller_request(
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    *,
    from_service: bool = False,
) -> CallerRequest:
    """Parse a caller's request and strip its key.

    Raises
    ------
    ValueError
        If the headers contain different keys, the deadline header is not a positive number, or
        the value of the run header is unknown.
    """
    headers_by_name = {name.lower(): text for name, text in headers}
    key = find_key(headers)
    is_misplaced = is_key_misplaced(key, target, headers, body)
    if is_misplaced:
        # Ignore the other headers: error messages that quote their values would reveal the key.
        headers_by_name = {}
    kept = tuple(pair for pair in headers if pair[0].lower() not in _STRIPPED_HEADERS)
    return CallerRequest(
        request=RequestId(new_identifier()),
        method=method,
        target=target,
        headers=kept,
        body=body,
        key_digest=digest_key(key) if key else None,
        key_misplaced=is_misplaced,
        idempotency_key=headers_by_name.get('idempotency-key'),
        run=_parse_execution_semantics(headers_by_name),
        remaining_milliseconds=_parse_deadline(headers_by_name),
        serves=_parse_served_request(headers_by_name),
        from_service=from_service,
    )


def _parse_execution_semantics(headers_by_name: dict[str, str]) -> ExecutionSemantics:
    text = headers_by_name.get(RUN_HEADER.lower(), ExecutionSemantics.REPEATABLE.value)
    valid = [member.value for member in ExecutionSemantics]
    if text not in valid:
        raise ValueError(f'{RUN_HEADER} must be one of {valid}, not {text!r}')
    return ExecutionSemantics(text)


def _parse_deadline(headers_by_name: dict[str, str]) -> float | None:
    text = headers_by_name.get(DEADLINE_HEADER.lower())
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = 0
    if not 0 < milliseconds < float('inf'):
        raise ValueError(f'{DEADLINE_HEADER} must be a positive number, not {text!r}')
    return milliseconds


def _parse_served_request(headers_by_name: dict[str, str]) -> RequestId | None:
    serves = headers_by_name.get(SERVES_HEADER.lower())
    return RequestId(serves) if serves else None
