"""Encoding and decoding of messages, log records, HTTP and settings."""

from .caller_keys import (
    KEY_HEADERS,
    digest_key,
    find_key,
    is_key_misplaced,
)
from .codec import (
    Frame,
    decode_frame,
    encode_frame,
)
from .conversion_errors import (
    explain_conversion_error,
    redact_secret,
)
from .dispatch import (
    handle_message,
)
from .handshake import (
    check_proof,
    is_valid_welcome,
    make_nonce,
    make_proof,
    make_welcome,
)
from .http1 import (
    HttpRequest,
    RequestReader,
    encode_response,
    forwarded_headers,
    must_close_connection,
)
from .http_headers import (
    DEADLINE_HEADER,
    REQUEST_HEADER,
    RUN_HEADER,
    SERVES_HEADER,
    SHED_HEADER,
    read_caller_request,
)
from .hop_headers import strip_hop_by_hop_headers
from .http_status import (
    OUTCOME_HEADER,
    HttpResponse,
    to_http,
    to_json_response,
)
from .json_decoding import decode_json
from .large_frames import FrameAssembly, FrameBeginning, encode_pieces, split_pieces
from .log_records import (
    decode_log_page,
    decode_record,
    encode_record,
)
from .node_entries import decode_node_entry, encode_node_entry
from .operator_api import (
    decode_change,
    decode_plain_change,
    to_publish_response,
    to_rejection_response,
    to_operator_response,
)
from .response_reader import ResponseReader, ServerResponse
from .settings_file import (
    decode_settings,
)
from .snapshots import (
    SnapshotEncoding,
    decode_state,
    encode_state,
)
from .unknown_fields import (
    find_unknown_fields,
)

__all__ = (
    'HttpRequest',
    'ServerResponse',
    'RequestReader',
    'ResponseReader',
    'decode_node_entry',
    'encode_pieces',
    'encode_response',
    'split_pieces',
    'encode_node_entry',
    'forwarded_headers',
    'must_close_connection',
    'DEADLINE_HEADER',
    'Frame',
    'FrameAssembly',
    'FrameBeginning',
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
    'decode_json',
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
    'to_json_response',
    'to_operator_response',
)
