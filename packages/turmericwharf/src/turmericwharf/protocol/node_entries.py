"""Encodes and decodes the node entries kept in the store."""

import cbor2
import msgspec
from loguru import logger

from turmericwharf.state.sidecar import NodeEntry


def encode_node_entry(entry: NodeEntry) -> bytes:
    """Return a node entry as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(entry))


def decode_node_entry(encoded: bytes) -> NodeEntry | None:
    """Return the decoded node entry, or None if it is malformed."""
    try:
        return msgspec.convert(cbor2.loads(encoded), type=NodeEntry)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        logger.bind(error=str(error)).warning('node_entry_unreadable')
        return None
