"""Qualified names of configuration objects, used to detect conflicting changes."""

from collections.abc import Iterator
from functools import singledispatch

from turmericwharf.state import (
    ConfigurationObject,
    Key,
    Organisation,
    Publish,
    Removal,
    Route,
    Service,
    WorkClass,
)


def changed_objects(record: Publish) -> Iterator[ConfigurationObject | Removal]:
    """Yield all objects that a change sets or removes."""
    yield from record.organisations
    yield from record.classes
    yield from record.services
    yield from record.routes
    yield from record.keys
    yield from record.removals


@singledispatch
def object_name(configuration_object: object) -> str:
    """Return the qualified name of an object, for example `route/bookings`."""
    raise TypeError(f'not a configuration object: {configuration_object!r}')


@object_name.register
def _(configuration_object: Organisation) -> str:
    return f'organisation/{configuration_object.organisation}'


@object_name.register
def _(configuration_object: WorkClass) -> str:
    return f'class/{configuration_object.work_class}'


@object_name.register
def _(configuration_object: Service) -> str:
    return f'service/{configuration_object.service}'


@object_name.register
def _(configuration_object: Route) -> str:
    return f'route/{configuration_object.route}'


@object_name.register
def _(configuration_object: Key) -> str:
    return f'key/{configuration_object.key_id}'


@object_name.register
def _(configuration_object: Removal) -> str:
    return f'{configuration_object.kind.value}/{configuration_object.name}'
