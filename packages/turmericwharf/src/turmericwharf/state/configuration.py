"""The configuration that operators publish, as frozen values."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import TypeAlias

from turmericwharf.state.identifiers import (
    KeyDigest,
    KeyId,
    OrganisationId,
    PublishId,
    RouteId,
    ServiceId,
    WorkClassId,
)

NO_VERSION = -1


class ExecutionSemantics(enum.Enum):
    """How many times a request of a class may run."""

    AT_MOST_ONCE = 'at-most-once'
    REPEATABLE = 'repeatable'


class Audience(enum.Enum):
    """Who may call a route."""

    OPEN = 'open'
    SERVICES = 'services'


class Importance(enum.IntEnum):
    """Order in which queued work is served; higher goes first."""

    BACKGROUND = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its rate in requests a second and its burst in requests."""

    organisation: OrganisationId
    rate_per_second: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work with its targets."""

    work_class: WorkClassId
    answer_within_milliseconds: int
    run: ExecutionSemantics = ExecutionSemantics.REPEATABLE
    importance: Importance = Importance.NORMAL
    never_refused_inside_rate: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the share of its healthy capacity that ejection must leave."""

    service: ServiceId
    floor_fraction: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests that match are work of one class for one service."""

    route: RouteId
    methods: tuple[str, ...]
    path_prefix: str
    service: ServiceId
    work_class: WorkClassId
    audience: Audience = Audience.OPEN


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """An organisation's key, known by its digest only."""

    digest: KeyDigest
    key_id: KeyId
    organisation: OrganisationId
    withdrawn: bool = False


ConfigurationObject: TypeAlias = Organisation | WorkClass | Service | Route | Key


class ObjectKind(enum.Enum):
    """Kinds of configuration objects that can be removed; keys are withdrawn instead."""

    ORGANISATION = 'organisation'
    WORK_CLASS = 'class'
    SERVICE = 'service'
    ROUTE = 'route'


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """An object that a change removes."""

    kind: ObjectKind
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A later change of an object that won over the rejected one.

    Parameters
    ----------
    publish_id, operator
        Who won; None and empty if the receipt of that change is no longer kept.
    """

    object_name: str
    version: int
    publish_id: PublishId | None
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class ValidationProblem:
    """A value of a change that is not valid."""

    object_name: str
    field: str
    found: str
    valid: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReceipt:
    """What became of one publish id.

    Parameters
    ----------
    accepted
        Whether the change is part of the configuration from `version` on.
    conflicts, problems
        Why a change was rejected.
    """

    publish_id: PublishId
    version: int
    operator: str
    accepted: bool
    conflicts: tuple[Conflict, ...] = ()
    problems: tuple[ValidationProblem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All objects in force, and the version at which each last changed.

    Parameters
    ----------
    versions_by_object
        Also names removed objects, so that a change based on an older version conflicts.
    receipts_by_publish_id
        The latest publish ids, oldest first.
    """

    version: int = NO_VERSION
    organisations_by_id: Mapping[OrganisationId, Organisation] = dataclasses.field(
        default_factory=dict,
    )
    classes_by_id: Mapping[WorkClassId, WorkClass] = dataclasses.field(default_factory=dict)
    services_by_id: Mapping[ServiceId, Service] = dataclasses.field(default_factory=dict)
    routes_by_id: Mapping[RouteId, Route] = dataclasses.field(default_factory=dict)
    keys_by_digest: Mapping[KeyDigest, Key] = dataclasses.field(default_factory=dict)
    versions_by_object: Mapping[str, int] = dataclasses.field(default_factory=dict)
    receipts_by_publish_id: Mapping[PublishId, PublishReceipt] = dataclasses.field(
        default_factory=dict,
    )
