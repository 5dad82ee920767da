"""Decides who may hold the memory and the connections of a process."""

from turmericwharf.coordination.memory.answer_room import AnswerRoom
from turmericwharf.coordination.memory.connection_limit import (
    ConnectionUse,
    OpenConnection,
    choose_closed,
)
from turmericwharf.coordination.memory.memory_budget import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    WAITING_CONNECTION_BYTES,
    HolderKind,
    MemoryBudget,
    MemoryHolding,
    derive_limits,
)

__all__ = (
    'CONNECTION_BYTES',
    'REQUEST_BYTES',
    'WAITING_CONNECTION_BYTES',
    'AnswerRoom',
    'ConnectionUse',
    'HolderKind',
    'MemoryBudget',
    'MemoryHolding',
    'OpenConnection',
    'choose_closed',
    'derive_limits',
)
