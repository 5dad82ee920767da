"""The three possible outcomes of a request."""

import dataclasses
from typing import TypeAlias

from turmericwharf.state.failures import Reason

Headers: TypeAlias = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server returned a complete answer.

    Parameters
    ----------
    status
        HTTP status of the backend server.
    headers
        Headers of the backend server, without those that apply to the connection only.
    body
        Complete body.
    first_byte_milliseconds
        Time from the start of the run to the first byte, measured by the node beside the server.
    load
        Requests in progress and waiting, divided by the slots, as counted by the node beside the
        server.
    server_milliseconds
        Time from the start of the run to the end of the answer, measured by the node beside the
        server.
    waited_milliseconds
        Time spent in the queue of the node beside the server.
    """

    status: int
    headers: Headers
    body: bytes
    first_byte_milliseconds: float = 0.0
    load: float = 0.0
    server_milliseconds: float = 0.0
    waited_milliseconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run, and it is certain that it will not run.

    Parameters
    ----------
    retry_seconds
        Time after which the request would likely be accepted; None if nothing is known of it.
    """

    reason: Reason
    detail: str = ''
    retry_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run."""

    reason: Reason
    detail: str = ''


Outcome: TypeAlias = Answered | NotRun | OutcomeUnknown
