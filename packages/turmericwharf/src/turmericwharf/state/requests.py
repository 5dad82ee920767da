"""Requests of callers, with their headers parsed."""

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
    """A request as the coordination layer sees it; of its API key only the digest is left.

    Parameters
    ----------
    key_digest
        Digest of the API key, or None if the request has none.
    key_misplaced
        Whether the API key also occurs where it would be forwarded to a backend server.
    idempotency_key
        Key under which the caller may repeat the request, or None.
    run
        Semantics that the caller requests; the stricter of these and those of the work class
        apply.
    remaining_milliseconds
        Time until the caller stops waiting, or None if it sets no deadline.
    serves
        Request on whose behalf a service makes this lookup, or None.
    from_service
        Whether the request arrived on the loopback port for backend servers.
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
        Time on the node's clock, in seconds.
    target_seconds
        Time within which the work class promises an answer.
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
