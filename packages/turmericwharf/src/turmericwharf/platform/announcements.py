"""Reads what a backend server says of itself."""

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
    # Unix milliseconds of the server's start; servers that do not say it are older.
    born: int = 0


class _Leave(msgspec.Struct, frozen=True):
    born: int = 0


def read_heartbeat(server: str, body: bytes) -> AnnouncedServer | None:
    """Return an announcement, or None if it names no server to use."""
    try:
        found = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.DecodeError:
        return None
    phase = _PHASES.get(found.status.state)
    if phase is None or not server or found.description.slots <= 0:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        service=ServiceId(found.description.service),
        slots=found.description.slots,
        phase=phase,
        born=found.born,
        sequence=found.status.sequence,
    )


def read_leave(server: str, body: bytes) -> AnnouncedServer | None:
    """Return the notice of a server that leaves, or None if it cannot be read."""
    try:
        found = msgspec.json.decode(body, type=_Leave) if body else _Leave()
    except msgspec.DecodeError:
        return None
    return AnnouncedServer(
        server=ServerId(server),
        phase=ServerPhase.LEAVING,
        born=found.born,
    )
