"""Rendezvous hashing: the same ranking of instances at every node, without agreement."""

import functools
import hashlib
from collections.abc import Iterable

from turmericwharf.state import InstanceId

PARTITION_COUNT = 256
_HASH_BYTES = 8
_REMEMBERED_HASHES = 65_536


def partition_of(name: str) -> int:
    """Return the partition of a name, from 0 to `PARTITION_COUNT` - 1."""
    return _hash(name) % PARTITION_COUNT


def rank_instances(topic: str, instances: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances in the order in which they are responsible for a topic."""
    return sorted(
        instances,
        key=lambda instance: (_hash(f'{topic}/{instance}'), instance),
        reverse=True,
    )


@functools.lru_cache(maxsize=_REMEMBERED_HASHES)
def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
