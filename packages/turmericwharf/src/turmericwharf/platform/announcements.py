"""Decodes the announcements of backend servers."""

from types import MappingProxyType
from typing import Annotated

import msgspec

from turmericwharf.protocol import decode_json
from turmericwharf.state import ServiceId
from turmericwharf.state.sidecar import (
    MAX_BORN,
    MAX_SLOTS,
    AnnouncedServer,
    ServerId,
    ServerPhase,
)

_PHASES = MappingProxyType({'ready': ServerPhase.READY, 'draining': ServerPhase.LEAVING})


_Slots = Annotated[int, msgspec.Meta(gt=0, le=MAX_SLOTS)]
_Born = Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN)]
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Description(msgspec.Struct, frozen=True):
    service: str
    slots: _Slots


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: _Sequence
    # Time in seconds for which the server stays cold.
    cold_remaining_s: float | None = msgspec.field(default=None, name='coldRemainingS')


class _Heartbeat(msgspec.Struct, frozen=True):
    description: _Description = msgspec.field(name='info')
    status: _Status
    # Start of the server process in Unix milliseconds. A server that omits it counts as older
    # than any that sends it.
    born: _Born = 0


class _Leave(msgspec.Struct, frozen=True):
    born: _Born = 0


def read_heartbeat(server: str, body: bytes) -> AnnouncedServer | None:
    """Return the announcement, or None if it is malformed or describes no usable server."""
    try:
        heartbeat = decode_json(body, _Heartbeat)
    except msgspec.DecodeError:
        return None
    phase = _PHASES.get(heartbeat.status.state)
    if phase is None or not server:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        service=ServiceId(heartbeat.description.service),
        slots=heartbeat.description.slots,
        phase=phase,
        born=heartbeat.born,
        sequence=heartbeat.status.sequence,
        cold_seconds=_non_negative(heartbeat.status.cold_remaining_s),
    )


def _non_negative(seconds: float | None) -> float | None:
    return None if seconds is None else max(seconds, 0)


def read_leave(server: str, body: bytes) -> AnnouncedServer | None:
    """Return the announcement of a server that leaves, or None if it is malformed."""
    try:
        leave = decode_json(body, _Leave) if body else _Leave()
    except msgspec.DecodeError:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        phase=ServerPhase.LEAVING,
        born=leave.born,
    )
