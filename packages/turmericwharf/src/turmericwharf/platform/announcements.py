"""Decodes the announcements of backend servers."""

from types import MappingProxyType

import msgspec

from turmericwharf.state import ServiceId
from turmericwharf.state.sidecar import AnnouncedServer, ServerId, ServerPhase

_PHASES = MappingProxyType({'ready': ServerPhase.READY, 'draining': ServerPhase.LEAVING})


class _Description(msgspec.Struct, frozen=True):
    service: str
    slots: int


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: int


class _Heartbeat(msgspec.Struct, frozen=True):
    description: _Description = msgspec.field(name='info')
    status: _Status
    # Start of the server process in Unix milliseconds. A server that omits it counts as older
    # than any that sends it.
    born: int = 0


class _Leave(msgspec.Struct, frozen=True):
    born: int = 0


def read_heartbeat(server: str, body: bytes) -> AnnouncedServer | None:
    """Return the announcement, or None if it is malformed or describes no usable server."""
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.DecodeError:
        return None
    phase = _PHASES.get(heartbeat.status.state)
    if phase is None or not server or heartbeat.description.slots <= 0:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        service=ServiceId(heartbeat.description.service),
        slots=heartbeat.description.slots,
        phase=phase,
        born=heartbeat.born,
        sequence=heartbeat.status.sequence,
    )


def read_leave(server: str, body: bytes) -> AnnouncedServer | None:
    """Return the announcement of a server that leaves, or None if it is malformed."""
    try:
        leave = msgspec.json.decode(body, type=_Leave) if body else _Leave()
    except msgspec.DecodeError:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        phase=ServerPhase.LEAVING,
        born=leave.born,
    )
