"""Encodings of messages, records, headers and settings."""

from turmericwharf.protocol.caller_keys import (
    KEY_HEADERS,
    digest_key,
    find_key,
    is_key_misplaced,
)
from turmericwharf.protocol.codec import (
    Frame,
    decode_frame,
    encode_frame,
)
from turmericwharf.protocol.conversion_errors import (
    explain_conversion_error,
    redact_secret,
)
from turmericwharf.protocol.dispatch import (
    handle_message,
)
from turmericwharf.protocol.handshake import (
    check_proof,
    is_valid_welcome,
    make_nonce,
    make_proof,
    make_welcome,
)
from turmericwharf.protocol.http1 import (
    HttpRequest,
    ServerResponse,
    RequestReader,
    ResponseReader,
    encode_response,
    forwarded_headers,
    must_close_connection,
)
from turmericwharf.protocol.http_headers import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    RUN_HEADER,
    SERVES_HEADER,
    SHED_HEADER,
    read_caller_request,
    strip_hop_by_hop_headers,
)
from turmericwharf.protocol.http_status import (
    HttpResponse,
    to_http,
)
from turmericwharf.protocol.log_records import (
    decode_log_page,
    decode_record,
    encode_record,
)
from turmericwharf.protocol.node_entries import decode_node_entry, encode_node_entry
from turmericwharf.protocol.operator_api import (
    decode_change,
    decode_plain_change,
    to_publish_response,
    to_rejection_response,
    to_operator_response,
)
from turmericwharf.protocol.settings_file import (
    decode_settings,
)
from turmericwharf.protocol.snapshots import (
    SnapshotEncoding,
    decode_state,
    encode_state,
)
from turmericwharf.protocol.unknown_fields import (
    find_unknown_fields,
)

__all__ = (
    'HttpRequest',
    'ServerResponse',
    'RequestReader',
    'ResponseReader',
    'decode_node_entry',
    'encode_response',
    'encode_node_entry',
    'forwarded_headers',
    'must_close_connection',
    'DEADLINE_HEADER',
    'Frame',
    'HttpResponse',
    'KEY_HEADERS',
    'OUTCOME_HEADER',
    'REQUEST_HEADER',
    'RUN_HEADER',
    'SERVES_HEADER',
    'SHED_HEADER',
    'SnapshotEncoding',
    'check_proof',
    'decode_change',
    'decode_frame',
    'decode_log_page',
    'decode_plain_change',
    'decode_record',
    'decode_settings',
    'decode_state',
    'digest_key',
    'encode_frame',
    'encode_record',
    'encode_state',
    'explain_conversion_error',
    'find_key',
    'find_unknown_fields',
    'handle_message',
    'redact_secret',
    'is_key_misplaced',
    'is_valid_welcome',
    'make_nonce',
    'make_proof',
    'make_welcome',
    'read_caller_request',
    'to_publish_response',
    'to_rejection_response',
    'strip_hop_by_hop_headers',
    'to_http',
    'to_operator_response',
)
