"""Settings of the C library's memory allocator."""

import ctypes
import sys

from loguru import logger

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Blocks of this size and larger are returned to the system as soon as they are freed.
_MMAP_THRESHOLD_BYTES = 131_072
_TRIM_THRESHOLD_BYTES = 262_144


def return_freed_memory() -> None:
    """Let freed bodies be returned to the system at once.

    By default, glibc raises the size from which it does so to that of the largest block that was
    freed, up to 32 MiB. Bodies then leave gaps in the heap that the process keeps.
    """
    if not sys.platform.startswith('linux'):
        return
    try:
        set_option = ctypes.CDLL(None).mallopt
    except AttributeError:
        # Other C libraries return large blocks by themselves.
        logger.debug('allocator_without_options')
        return
    set_option(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
    set_option(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES)
