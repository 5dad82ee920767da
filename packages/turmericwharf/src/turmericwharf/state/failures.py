"""Failures as immutable values that carry a reason."""

import dataclasses
import enum


class Reason(enum.Enum):
    """All reasons that a failure can have; the list is closed."""

    NOT_READY = 'not_ready'
    FLEET_UNKNOWN = 'fleet_unknown'
    NO_STANDING = 'no_standing'
    REQUEST_ID_INVALID = 'request_id_invalid'
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    KEY_WITHDRAWN = 'key_withdrawn'
    KEY_MISPLACED = 'key_misplaced'
    ROUTE_UNKNOWN = 'route_unknown'
    ROUTE_INTERNAL = 'route_internal'
    RATE_EXCEEDED = 'rate_exceeded'
    BODY_TOO_LARGE = 'body_too_large'
    REQUEST_MALFORMED = 'request_malformed'
    DEADLINE_PASSED = 'deadline_passed'
    NO_CAPACITY = 'no_capacity'
    QUEUE_FULL = 'queue_full'
    SERVER_BUSY = 'server_busy'
    SERVER_DRAINING = 'server_draining'
    SERVER_UNKNOWN = 'server_unknown'
    SERVER_UNREACHABLE = 'server_unreachable'
    SERVER_SHED = 'server_shed'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    ANSWER_TOO_LARGE = 'answer_too_large'
    ANSWER_TIMEOUT = 'answer_timeout'
    CALLER_LEFT = 'caller_left'
    PEER_UNREACHABLE = 'peer_unreachable'
    PEER_LINK_LOST = 'peer_link_lost'
    PEER_TIMEOUT = 'peer_timeout'
    PEER_REJECTED = 'peer_rejected'
    PEER_CONGESTED = 'peer_congested'
    FRAME_TOO_LARGE = 'frame_too_large'
    FRAME_MALFORMED = 'frame_malformed'
    FRAME_TYPE_UNKNOWN = 'frame_type_unknown'
    DUPLICATE_REQUEST = 'duplicate_request'
    LOG_UNAVAILABLE = 'log_unavailable'
    CLAIM_LOG_UNAVAILABLE = 'claim_log_unavailable'
    CLAIM_IN_PROGRESS = 'claim_in_progress'
    CLAIM_RELEASED = 'claim_released'
    ALREADY_RUN = 'already_run'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    CONFLICT = 'conflict'
    CHANGE_INVALID = 'change_invalid'
    CHANGE_MALFORMED = 'change_malformed'
    OBJECT_UNKNOWN = 'object_unknown'
    PAGE_UNKNOWN = 'page_unknown'
    PUBLISH_UNCONFIRMED = 'publish_unconfirmed'
    SETTINGS_INVALID = 'settings_invalid'
    OPERATOR_UNKNOWN = 'operator_unknown'
    SHUTDOWN = 'shutdown'
    LOG_HISTORY_GONE = 'log_history_gone'
    BREAKER_OPEN = 'breaker_open'
    PROCESS_REPLACED = 'process_replaced'
    CONFIGURATION_OUTDATED = 'configuration_outdated'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    STAMP_MISSING = 'stamp_missing'
    ANSWER_FOREIGN = 'answer_foreign'
    SERVER_COLD = 'server_cold'
    DATA_CENTRE_EVACUATED = 'data_centre_evacuated'
    MEMORY_EXHAUSTED = 'memory_exhausted'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failure with its reason.

    Parameters
    ----------
    reason
        Why the operation failed.
    detail
        Explanation for people; programs must rely on `reason` only.
    """

    reason: Reason
    detail: str = ''


class RequestFailure(Failure):
    """A caller's request could not be served."""


class LinkFailure(Failure):
    """A message to a peer failed, and no byte of it can have been sent."""


class DeliveryUnknown(Failure):
    """A message to a peer may have been delivered, but no answer was received."""


class ProtocolFailure(Failure):
    """A frame, record or header could not be decoded."""


class LogFailure(Failure):
    """The log did not answer; an append may or may not have taken effect."""


class PublishFailure(Failure):
    """A configuration change was not accepted."""


class SettingsFailure(Failure):
    """A settings file is invalid."""


NOT_READY = RequestFailure(Reason.NOT_READY, 'the node has not loaded a configuration yet')
FLEET_UNKNOWN = RequestFailure(
    Reason.FLEET_UNKNOWN,
    'the node has just started and does not know yet which nodes hold the rate of the organisation',
)
NO_STANDING = RequestFailure(
    Reason.NO_STANDING,
    'the node can reach neither the log nor a majority of the members',
)
REQUEST_ID_INVALID = RequestFailure(
    Reason.REQUEST_ID_INVALID,
    'the identifier of the request is missing, longer than 256 characters, or contains others than '
    'visible ASCII characters',
)
KEY_MISSING = RequestFailure(
    Reason.KEY_MISSING,
    'the request has no API key; send it in Authorization: Bearer or X-Api-Key',
)
KEY_UNKNOWN = RequestFailure(Reason.KEY_UNKNOWN, 'the API key does not belong to an organisation')
KEY_WITHDRAWN = RequestFailure(Reason.KEY_WITHDRAWN, 'the API key was withdrawn')
KEY_MISPLACED = RequestFailure(
    Reason.KEY_MISPLACED,
    'the API key occurs outside the headers Authorization and X-Api-Key',
)
ROUTE_UNKNOWN = RequestFailure(Reason.ROUTE_UNKNOWN, 'no route matches the method and path')
ROUTE_INTERNAL = RequestFailure(
    Reason.ROUTE_INTERNAL,
    'the route can be called by services only, or a call from a service does not name the '
    'request in progress that it serves, or that request has no organisation',
)
RATE_EXCEEDED = RequestFailure(
    Reason.RATE_EXCEEDED,
    'no token was granted: the organisation exceeds its rate, or holders of its rate did not '
    'answer',
)
BODY_TOO_LARGE = RequestFailure(Reason.BODY_TOO_LARGE, 'the request body exceeds the size limit')
DEADLINE_PASSED = RequestFailure(
    Reason.DEADLINE_PASSED, 'the deadline passed before the request was run'
)
NO_CAPACITY = RequestFailure(Reason.NO_CAPACITY, 'no backend server of the service is available')
SERVER_BUSY = RequestFailure(
    Reason.SERVER_BUSY,
    'the backend server has no free slot',
)
QUEUE_FULL = RequestFailure(
    Reason.QUEUE_FULL,
    'the queue of the backend server is full, or the expected wait exceeds the time that the '
    'request can wait',
)
QUEUE_DISPLACED = RequestFailure(
    Reason.QUEUE_FULL,
    'another request displaced this one from the full queue',
)
SERVER_DRAINING = RequestFailure(
    Reason.SERVER_DRAINING, 'the backend server does not accept new requests'
)
SERVER_UNKNOWN = RequestFailure(Reason.SERVER_UNKNOWN, 'this instance has no such backend server')
CALLER_LEFT = RequestFailure(Reason.CALLER_LEFT, 'the caller closed the connection')
DUPLICATE_REQUEST = RequestFailure(
    Reason.DUPLICATE_REQUEST,
    'a request with this id was already received',
)
CLAIM_LOG_UNAVAILABLE = RequestFailure(
    Reason.CLAIM_LOG_UNAVAILABLE,
    'the log that stores idempotency keys does not answer',
)
CLAIM_IN_PROGRESS = RequestFailure(
    Reason.CLAIM_IN_PROGRESS,
    'a request with this idempotency key is running or its outcome is unknown',
)
ALREADY_RUN = RequestFailure(
    Reason.ALREADY_RUN,
    'a request with this idempotency key has run, but its answer is no longer stored',
)
IDEMPOTENCY_KEY_REUSED = RequestFailure(
    Reason.IDEMPOTENCY_KEY_REUSED,
    'the idempotency key was first used with another method, target or body',
)
SHUTDOWN = RequestFailure(Reason.SHUTDOWN, 'the node is shutting down')
BREAKER_OPEN = RequestFailure(
    Reason.BREAKER_OPEN, 'the circuit breaker of the backend server is open'
)
SERVER_COLD = RequestFailure(
    Reason.SERVER_COLD,
    'the backend server has just started or become cold, and accepts no more requests now',
)
DATA_CENTRE_EVACUATED = RequestFailure(
    Reason.DATA_CENTRE_EVACUATED, 'the operators have evacuated the data centre of the server'
)
PROCESS_REPLACED = RequestFailure(
    Reason.PROCESS_REPLACED,
    'the node process that the request was sent to has been replaced',
)
CONFIGURATION_OUTDATED = RequestFailure(
    Reason.CONFIGURATION_OUTDATED,
    'a newer configuration does not route this request to this service',
)
HEADERS_TOO_LARGE = RequestFailure(Reason.HEADERS_TOO_LARGE, 'the headers exceed the size limit')
REQUEST_TIMEOUT = RequestFailure(
    Reason.REQUEST_TIMEOUT, 'the complete request was not received in time'
)
MEMORY_EXHAUSTED = RequestFailure(
    Reason.MEMORY_EXHAUSTED, 'the node has no memory left for a request of this size'
)
PEER_UNREACHABLE = LinkFailure(Reason.PEER_UNREACHABLE, 'there is no connection to the peer')
PEER_CONGESTED = LinkFailure(
    Reason.PEER_CONGESTED,
    'the connection to the peer was congested until the timeout, so nothing was sent',
)
PEER_SECRET_INVALID = ProtocolFailure(
    Reason.PEER_REJECTED, 'the peer failed to prove that it holds the fleet secret'
)
PEER_ADDRESS_MISMATCH = ProtocolFailure(
    Reason.PEER_REJECTED,
    'the peer connects from an address other than the one that it states',
)
PEER_INSTANCE_MISMATCH = ProtocolFailure(
    Reason.PEER_REJECTED,
    'a node other than the expected one answers at this address, or the peer uses another name',
)
PEER_SUPERSEDED = ProtocolFailure(
    Reason.PEER_REJECTED, 'a later incarnation of the peer runs in its slot'
)
PEER_TIMEOUT = DeliveryUnknown(Reason.PEER_TIMEOUT, 'the peer did not answer in time')
PEER_LINK_LOST = DeliveryUnknown(Reason.PEER_LINK_LOST, 'the connection to the peer was lost')
PUBLISH_UNCONFIRMED = PublishFailure(
    Reason.PUBLISH_UNCONFIRMED,
    'the log has not confirmed the change, which may still take effect; '
    'publish again with the same publish id to learn the result',
)
PUBLISH_LOG_UNAVAILABLE = PublishFailure(
    Reason.LOG_UNAVAILABLE,
    'this node cannot reach the log; this request appended nothing',
)
PUBLISH_NOT_READY = PublishFailure(Reason.NOT_READY, 'the node has not loaded a configuration yet')
OPERATOR_UNKNOWN = PublishFailure(
    Reason.OPERATOR_UNKNOWN, 'the token does not belong to an operator'
)
LOG_UNAVAILABLE = LogFailure(Reason.LOG_UNAVAILABLE, 'the log does not answer')
