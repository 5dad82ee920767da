"""What the soak records of its clients and of the servers that left."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """One request as recorded by its client; the status is None without an answer."""

    request: str
    key: str
    idempotent: bool
    sent_at: float
    status: int | None
    body: bytes
    answered_request: str | None


@dataclasses.dataclass(frozen=True)
class LeaveRecord:
    """A server that left, when that was acknowledged, and when its process ended."""

    server: str
    acknowledged_at: float
    ended_at: float
