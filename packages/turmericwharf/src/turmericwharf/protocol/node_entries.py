"""Encodes the entries of nodes that the store keeps."""

import cbor2
import msgspec
from loguru import logger

from turmericwharf.state.sidecar import NodeEntry


def encode_node_entry(entry: NodeEntry) -> bytes:
    """Return an entry as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(entry))


def decode_node_entry(encoded: bytes) -> NodeEntry | None:
    """Return an entry, or None if the bytes are no entry."""
    try:
        return msgspec.convert(cbor2.loads(encoded), type=NodeEntry)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        logger.bind(error=str(error)).warning('node_entry_unreadable')
        return None
