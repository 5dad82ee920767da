"""Encodes and decodes the node entries kept in the store."""

import cbor2
import msgspec
from loguru import logger

from turmericwharf.state.sidecar import NodeEntry

_DECODING_ERRORS = (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError)
_MAX_LOGGED_CHARACTERS = 500


def encode_node_entry(entry: NodeEntry) -> bytes:
    """Return a node entry as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(entry))


def decode_node_entry(encoded: bytes) -> NodeEntry | None:
    """Return the decoded node entry, or None if it is malformed or has values out of range."""
    try:
        entry = msgspec.convert(cbor2.loads(encoded), type=NodeEntry)
    except _DECODING_ERRORS as error:
        logger.bind(error=str(error)).warning('node_entry_unreadable')
        return None
    if not entry.is_usable:
        logger.bind(entry=repr(entry)[:_MAX_LOGGED_CHARACTERS]).warning('node_entry_out_of_range')
        return None
    return entry
