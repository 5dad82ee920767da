"""A caller's request after its headers were read."""

import dataclasses

from turmericwharf.state.configuration import Importance, ExecutionSemantics
from turmericwharf.state.identifiers import (
    KeyDigest,
    OrganisationId,
    RequestId,
    RouteId,
    ServiceId,
)
from turmericwharf.state.messages import ClaimReference
from turmericwharf.state.outcomes import Headers


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the decisions see it; the key itself is already gone.

    Parameters
    ----------
    key_digest
        Digest of the key, or None if none came.
    key_misplaced
        Whether the key also stands where it would reach a backend server.
    idempotency_key
        Caller's own key for retries, or None.
    run
        What the caller asks for; the stricter of this and the class holds.
    remaining_milliseconds
        Time that the caller still waits, or None.
    serves
        Request that a lookup between services feeds, or None.
    from_service
        Whether it came in on the loopback port for backend servers.
    """

    request: RequestId
    method: str
    target: str
    headers: Headers
    body: bytes
    key_digest: KeyDigest | None = None
    key_misplaced: bool = False
    idempotency_key: str | None = None
    run: ExecutionSemantics = ExecutionSemantics.REPEATABLE
    remaining_milliseconds: float | None = None
    serves: RequestId | None = None
    from_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that passed all checks of the entry node.

    Parameters
    ----------
    deadline
        Moment on the node's clock, in seconds.
    target_seconds
        Time within which the class of work promises an answer.
    claim
        Claim of the idempotency key under which the request runs, or None.
    """

    request: CallerRequest
    organisation: OrganisationId
    route: RouteId
    service: ServiceId
    importance: Importance
    idempotent: bool
    deadline: float
    target_seconds: float = 1.0
    claim: ClaimReference | None = None
