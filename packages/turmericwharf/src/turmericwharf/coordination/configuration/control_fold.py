"""Folds the records of the control stream into the control state."""

import dataclasses
import itertools
from collections.abc import Iterator, Mapping
from functools import singledispatch
from typing import Any, TypeVar

from turmericwharf.coordination.configuration.change_checks import find_problems
from turmericwharf.coordination.configuration.object_names import changed_objects, object_name
from turmericwharf.coordination.configuration.object_references import (
    FIELDS_BY_KIND,
    objects_by_name,
)
from turmericwharf.state import (
    Configuration,
    Conflict,
    ControlState,
    InstanceId,
    Joined,
    Left,
    Member,
    Publish,
    PublishReceipt,
    Removed,
    SnapshotWritten,
    StoredRecord,
)

# Publishers retry a publish id within seconds, and an ordinary day has 260 changes.
_MAX_RECEIPTS = 2000
# Limit of the conflicts and of the problems in a receipt, which bounds its size.
_MAX_REPORTED_CAUSES = 20

_Name = TypeVar('_Name')
_Object = TypeVar('_Object')


def fold_record(state: ControlState, stored: StoredRecord) -> ControlState:
    """Return the state after one more record.

    A record that is not newer than the state is ignored, so folding a record twice is harmless.
    """
    if stored.offset <= state.version:
        return state
    changed = _apply(stored.record, state, stored.offset)
    return dataclasses.replace(changed, version=stored.offset)


def merge_change(record: Publish, configuration: Configuration, version: int) -> Configuration:
    """Return the configuration with a change applied, whether or not the change is valid."""
    merged = dataclasses.replace(
        configuration,
        version=version,
        organisations_by_id=_merged(
            configuration.organisations_by_id,
            {organisation.organisation: organisation for organisation in record.organisations},
        ),
        classes_by_id=_merged(
            configuration.classes_by_id,
            {work_class.work_class: work_class for work_class in record.classes},
        ),
        services_by_id=_merged(
            configuration.services_by_id,
            {service.service: service for service in record.services},
        ),
        routes_by_id=_merged(
            configuration.routes_by_id,
            {route.route: route for route in record.routes},
        ),
        keys_by_digest=_merged(
            configuration.keys_by_digest,
            {key.digest: key for key in record.keys},
        ),
        versions_by_object=_merged(
            configuration.versions_by_object,
            {object_name(changed): version for changed in changed_objects(record)},
        ),
    )
    return _without_removed(record, merged)


def evaluate_change(
    record: Publish,
    configuration: Configuration,
    version: int,
) -> tuple[PublishReceipt, Configuration]:
    """Return the receipt of a change at a version, and the resulting configuration.

    A change with conflicts or problems is rejected and leaves the configuration as it is.
    """
    conflicts = tuple(
        itertools.islice(_find_conflicts(record, configuration), _MAX_REPORTED_CAUSES)
    )
    merged = merge_change(record, configuration, version)
    problems = tuple(
        itertools.islice(find_problems(record, configuration, merged), _MAX_REPORTED_CAUSES),
    )
    accepted = not conflicts and not problems
    receipt = PublishReceipt(
        publish_id=record.publish_id,
        version=version,
        operator=record.operator,
        accepted=accepted,
        conflicts=conflicts,
        problems=problems,
    )
    return receipt, merged if accepted else configuration


@singledispatch
def _apply(record: object, state: ControlState, offset: int) -> ControlState:
    # Ignore record types of later software versions.
    return state


@_apply.register
def _(record: Publish, state: ControlState, offset: int) -> ControlState:
    configuration = state.configuration
    if record.publish_id in configuration.receipts_by_publish_id:
        return state
    receipt, configuration = evaluate_change(record, configuration, offset)
    receipts = {**configuration.receipts_by_publish_id, record.publish_id: receipt}
    if len(receipts) > _MAX_RECEIPTS:
        receipts.pop(next(iter(receipts)))
    return dataclasses.replace(
        state,
        configuration=dataclasses.replace(configuration, receipts_by_publish_id=receipts),
    )


@_apply.register
def _(record: Joined, state: ControlState, offset: int) -> ControlState:
    if state.membership.members_by_id.get(record.member.instance) == record.member:
        # A retried append must not create a new membership version.
        return state
    members = {**state.membership.members_by_id, record.member.instance: record.member}
    return _with_members(state, members, offset)


@_apply.register
def _(record: Left, state: ControlState, offset: int) -> ControlState:
    return _without_member(state, record, offset)


@_apply.register
def _(record: Removed, state: ControlState, offset: int) -> ControlState:
    if record.membership_version != state.membership.version:
        return state
    return _without_member(state, record, offset)


@_apply.register
def _(record: SnapshotWritten, state: ControlState, offset: int) -> ControlState:
    written_at = max(state.snapshot_written_at, record.written_at)
    return dataclasses.replace(state, snapshot_written_at=written_at)


def _without_member(state: ControlState, record: Left | Removed, offset: int) -> ControlState:
    member = state.membership.members_by_id.get(record.instance)
    if member is None or member.incarnation != record.incarnation:
        return state
    members = dict(state.membership.members_by_id)
    members.pop(record.instance)
    return _with_members(state, members, offset)


def _with_members(
    state: ControlState,
    members_by_id: Mapping[InstanceId, Member],
    offset: int,
) -> ControlState:
    membership = dataclasses.replace(
        state.membership,
        version=offset,
        members_by_id=members_by_id,
    )
    return dataclasses.replace(state, membership=membership)


def _find_conflicts(record: Publish, configuration: Configuration) -> Iterator[Conflict]:
    receipts_by_version = {
        receipt.version: receipt for receipt in configuration.receipts_by_publish_id.values()
    }
    for changed in changed_objects(record):
        name = object_name(changed)
        version = configuration.versions_by_object.get(name)
        if version is not None and version > record.base_version:
            winner = receipts_by_version.get(version)
            yield Conflict(
                object_name=name,
                version=version,
                publish_id=winner.publish_id if winner else None,
                operator=winner.operator if winner else '',
            )


def _without_removed(record: Publish, configuration: Configuration) -> Configuration:
    for removal in record.removals:
        kept = dict(objects_by_name(removal.kind, configuration))
        kept.pop(removal.name, None)
        changes: dict[str, Any] = {FIELDS_BY_KIND[removal.kind]: kept}
        configuration = dataclasses.replace(configuration, **changes)
    return configuration


def _merged(
    current: Mapping[_Name, _Object],
    changes: Mapping[_Name, _Object],
) -> Mapping[_Name, _Object]:
    return {**current, **changes} if changes else current
