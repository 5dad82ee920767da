"""State dump of a node, for operators and metrics; each part of the node describes itself."""

import dataclasses
import math
from functools import singledispatch
from typing import Any


@singledispatch
def describe(part: object) -> object | None:
    """Return a frozen data class with the state of a part of a node, or None if it has none.

    Each module registers a handler for its own classes. Numbers, and mappings from names to
    numbers, are also exported as metrics; a field whose name ends in `_total` is a counter.
    """
    return None


def dump_parts(node: Any) -> dict[str, object]:
    """Return the state of all parts of a node by part name."""
    described = {
        field.name: describe(getattr(node, field.name)) for field in dataclasses.fields(node)
    }
    return {name: dump for name, dump in described.items() if dump is not None}


def seconds_since(now: float, timestamp: float) -> float | None:
    """Return the seconds since a time, or None for an event that never happened."""
    return None if math.isinf(timestamp) else max(now - timestamp, 0)
