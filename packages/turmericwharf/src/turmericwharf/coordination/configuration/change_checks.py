"""Whether the objects of a change are valid in the configuration that the change makes."""

import dataclasses
import math
import re
from collections.abc import Collection, Iterator
from functools import singledispatch
from typing import TypeAlias

from turmericwharf.coordination.configuration.object_names import changed_objects, object_name
from turmericwharf.coordination.configuration.object_references import (
    find_referrer,
    objects_by_name,
)
from turmericwharf.state import (
    Configuration,
    Key,
    Organisation,
    Problem,
    Publish,
    Removal,
    Route,
    RouteId,
    Service,
    WorkClass,
)

_METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_VALID_NAME = '1 to 128 letters, digits, ".", "_" or "-", with a letter or digit first'
_DIGEST = re.compile('[0-9a-f]{64}')
_PATH_PREFIX = re.compile(r'/[^?#%\s]*')
_DOT_SEGMENTS = frozenset(('.', '..'))
# More names than this do not help to find a misspelt one.
_NAMED_CHOICES = 20

_Fault: TypeAlias = tuple[str, object, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    """What the objects of one change are checked against."""

    before: Configuration
    after: Configuration
    routes_by_place: dict[tuple[str, str], list[RouteId]]


def find_problems(
    record: Publish,
    before: Configuration,
    after: Configuration,
) -> Iterator[Problem]:
    """Yield what is not valid in a change.

    Parameters
    ----------
    record
        The change.
    before, after
        The configuration without and with the change; `after.version` is the change's version.
    """
    if record.base_version >= after.version:
        valid = f'a version before {after.version}'
        yield Problem('change', 'base_version', str(record.base_version), valid)
    context = _Context(before, after, _routes_by_place(record, after))
    names: set[str] = set()
    for changed in changed_objects(record):
        name = object_name(changed)
        if name in names:
            yield Problem(name, 'name', name, 'each object once in a change')
        names.add(name)
        for field, found, valid in _faults(changed, context):
            yield Problem(name, field, repr(found), valid)
    if not names:
        yield Problem('change', 'objects', 'none', 'at least one object')


@singledispatch
def _faults(changed: object, context: _Context) -> Iterator[_Fault]:
    raise TypeError(f'not a configuration object: {changed!r}')


@_faults.register
def _(changed: Organisation, context: _Context) -> Iterator[_Fault]:
    yield from _name_faults('organisation', changed.organisation)
    yield from _number_faults('rate_per_second', changed.rate_per_second)
    yield from _number_faults('burst', changed.burst)


@_faults.register
def _(changed: WorkClass, context: _Context) -> Iterator[_Fault]:
    yield from _name_faults('work_class', changed.work_class)
    yield from _number_faults('answer_within_milliseconds', changed.answer_within_milliseconds)


@_faults.register
def _(changed: Service, context: _Context) -> Iterator[_Fault]:
    yield from _name_faults('service', changed.service)
    if not 0 <= changed.floor_fraction <= 1:
        yield 'floor_fraction', changed.floor_fraction, 'a number from 0 to 1'


@_faults.register
def _(changed: Route, context: _Context) -> Iterator[_Fault]:
    after = context.after
    yield from _name_faults('route', changed.route)
    yield from _reference_faults('service', changed.service, after.services_by_id)
    yield from _reference_faults('work_class', changed.work_class, after.classes_by_id)
    yield from _path_faults(changed.path_prefix)
    if not changed.methods or not set(changed.methods) <= set(_METHODS):
        yield 'methods', list(changed.methods), f'one or more of {", ".join(_METHODS)}'
    for method in changed.methods:
        place = context.routes_by_place.get((method, changed.path_prefix.rstrip('/')), ())
        for other in place:
            if other != changed.route:
                yield 'path_prefix', changed.path_prefix, f'not {method} of route {other!r}'


@_faults.register
def _(changed: Key, context: _Context) -> Iterator[_Fault]:
    yield from _name_faults('key_id', changed.key_id)
    yield from _reference_faults(
        'organisation',
        changed.organisation,
        context.after.organisations_by_id,
    )
    if not _DIGEST.fullmatch(changed.digest):
        yield 'digest', changed.digest, 'SHA-256 in 64 lower-case hexadecimal digits'
    known = context.before.keys_by_digest.get(changed.digest)
    if known is None:
        if object_name(changed) in context.before.versions_by_object:
            yield 'key_id', changed.key_id, 'an id that no other key has'
        return
    if (known.key_id, known.organisation) != (changed.key_id, changed.organisation):
        valid = f'key id and organisation of the key: {known.key_id}, {known.organisation}'
        yield 'organisation', changed.organisation, valid
    if known.withdrawn and not changed.withdrawn:
        yield 'withdrawn', changed.withdrawn, 'true, since a withdrawn key cannot come back'


@_faults.register
def _(changed: Removal, context: _Context) -> Iterator[_Fault]:
    known = objects_by_name(changed.kind, context.before)
    yield from _reference_faults('name', changed.name, known)
    user = find_referrer(changed.kind, changed.name, context.after)
    if user is not None:
        yield 'name', changed.name, f'an object that is not in use; {user} uses it'


def _name_faults(field: str, name: str) -> Iterator[_Fault]:
    if not _NAME.fullmatch(name):
        yield field, name, _VALID_NAME


def _number_faults(field: str, number: float) -> Iterator[_Fault]:
    if not 0 < number < math.inf:
        yield field, number, 'a finite number above 0'


def _reference_faults(field: str, name: str, known: Collection[str]) -> Iterator[_Fault]:
    if name not in known:
        choices = ', '.join(sorted(known)[:_NAMED_CHOICES]) or 'none exists yet'
        more = ', ...' if len(known) > _NAMED_CHOICES else ''
        yield field, name, f'one of: {choices}{more}'


def _path_faults(path_prefix: str) -> Iterator[_Fault]:
    segments = path_prefix.split('/')[1:-1]
    is_plain = _PATH_PREFIX.fullmatch(path_prefix) and '' not in segments
    if not is_plain or not _DOT_SEGMENTS.isdisjoint(path_prefix.split('/')):
        valid = 'a path that starts with "/", without "?", "#", "%", empty or dot segments'
        yield 'path_prefix', path_prefix, valid


def _routes_by_place(
    record: Publish,
    after: Configuration,
) -> dict[tuple[str, str], list[RouteId]]:
    places: dict[tuple[str, str], list[RouteId]] = {}
    if not record.routes:
        return places
    for route in after.routes_by_id.values():
        for method in route.methods:
            place = places.setdefault((method, route.path_prefix.rstrip('/')), [])
            place.append(route.route)
    return places
