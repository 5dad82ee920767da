"""Rendezvous hashing: all nodes compute the same ranking of instances without coordination."""

import functools
import hashlib
from collections.abc import Iterable

from turmericwharf.state import InstanceId

PARTITION_COUNT = 256
_HASH_BYTES = 8
_HASH_CACHE_SIZE = 65_536


def partition_of(name: str) -> int:
    """Return the partition of a name, from 0 to `PARTITION_COUNT` - 1."""
    return _hash(name) % PARTITION_COUNT


def rank_instances(topic: str, instances: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances by descending responsibility for a topic."""
    return sorted(
        instances,
        key=lambda instance: (_hash(f'{topic}/{instance}'), instance),
        reverse=True,
    )


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
