"""Size of reads from the socket of an asyncio connection."""

import asyncio

_READ_BYTES = 32_768


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Read less at once than the default of 256 KiB, which each read connection would buffer."""
    if hasattr(transport, 'max_size'):
        transport.max_size = _READ_BYTES
