"""Validation of a change's objects against the configuration that results from the change."""

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
    ValidationProblem,
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
# A longer list does not help to find a misspelt name.
_MAX_LISTED_CHOICES = 20

# Field of a changed object, its value, and a description of the values that are valid.
_Violation: TypeAlias = tuple[str, object, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Context:
    """Configurations and index that the objects of one change are checked against."""

    before: Configuration
    after: Configuration
    routes_by_method_and_path: dict[tuple[str, str], list[RouteId]]


def find_problems(
    record: Publish,
    before: Configuration,
    after: Configuration,
) -> Iterator[ValidationProblem]:
    """Yield the validation errors of a change.

    Parameters
    ----------
    record
        The change.
    before, after
        The configuration before and after the change; `after.version` is the change's version.
    """
    if record.base_version >= after.version:
        valid = f'a version before {after.version}'
        yield ValidationProblem('change', 'base_version', str(record.base_version), valid)
    context = _Context(before, after, _routes_by_method_and_path(record, after))
    names: set[str] = set()
    for changed in changed_objects(record):
        name = object_name(changed)
        if name in names:
            yield ValidationProblem(name, 'name', name, 'each object once in a change')
        names.add(name)
        for field, actual, valid in _violations(changed, context):
            yield ValidationProblem(name, field, repr(actual), valid)
    if not names:
        yield ValidationProblem('change', 'objects', 'none', 'at least one object')


@singledispatch
def _violations(changed: object, context: _Context) -> Iterator[_Violation]:
    raise TypeError(f'not a configuration object: {changed!r}')


@_violations.register
def _(changed: Organisation, context: _Context) -> Iterator[_Violation]:
    yield from _name_violations('organisation', changed.organisation)
    yield from _number_violations('rate_per_second', changed.rate_per_second)
    yield from _number_violations('burst', changed.burst)


@_violations.register
def _(changed: WorkClass, context: _Context) -> Iterator[_Violation]:
    yield from _name_violations('work_class', changed.work_class)
    yield from _number_violations('answer_within_milliseconds', changed.answer_within_milliseconds)


@_violations.register
def _(changed: Service, context: _Context) -> Iterator[_Violation]:
    yield from _name_violations('service', changed.service)
    if not 0 <= changed.floor_fraction <= 1:
        yield 'floor_fraction', changed.floor_fraction, 'a number from 0 to 1'


@_violations.register
def _(changed: Route, context: _Context) -> Iterator[_Violation]:
    after = context.after
    yield from _name_violations('route', changed.route)
    yield from _reference_violations('service', changed.service, after.services_by_id)
    yield from _reference_violations('work_class', changed.work_class, after.classes_by_id)
    yield from _path_violations(changed.path_prefix)
    if not changed.methods or not set(changed.methods) <= set(_METHODS):
        yield 'methods', list(changed.methods), f'one or more of {", ".join(_METHODS)}'
    for method in changed.methods:
        route_ids = context.routes_by_method_and_path.get(
            (method, changed.path_prefix.rstrip('/')), ()
        )
        for other in route_ids:
            if other != changed.route:
                yield 'path_prefix', changed.path_prefix, f'not {method} of route {other!r}'


@_violations.register
def _(changed: Key, context: _Context) -> Iterator[_Violation]:
    yield from _name_violations('key_id', changed.key_id)
    yield from _reference_violations(
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


@_violations.register
def _(changed: Removal, context: _Context) -> Iterator[_Violation]:
    known = objects_by_name(changed.kind, context.before)
    yield from _reference_violations('name', changed.name, known)
    referrer = find_referrer(changed.kind, changed.name, context.after)
    if referrer is not None:
        yield 'name', changed.name, f'an object that is not in use; {referrer} uses it'


def _name_violations(field: str, name: str) -> Iterator[_Violation]:
    if not _NAME.fullmatch(name):
        yield field, name, _VALID_NAME


def _number_violations(field: str, number: float) -> Iterator[_Violation]:
    if not 0 < number < math.inf:
        yield field, number, 'a finite number above 0'


def _reference_violations(field: str, name: str, known: Collection[str]) -> Iterator[_Violation]:
    if name not in known:
        choices = ', '.join(sorted(known)[:_MAX_LISTED_CHOICES]) or 'none exists yet'
        more = ', ...' if len(known) > _MAX_LISTED_CHOICES else ''
        yield field, name, f'one of: {choices}{more}'


def _path_violations(path_prefix: str) -> Iterator[_Violation]:
    segments = path_prefix.split('/')[1:-1]
    is_plain = _PATH_PREFIX.fullmatch(path_prefix) and '' not in segments
    if not is_plain or not _DOT_SEGMENTS.isdisjoint(path_prefix.split('/')):
        valid = 'a path that starts with "/", without "?", "#", "%", empty or dot segments'
        yield 'path_prefix', path_prefix, valid


def _routes_by_method_and_path(
    record: Publish,
    after: Configuration,
) -> dict[tuple[str, str], list[RouteId]]:
    route_ids_by_method_and_path: dict[tuple[str, str], list[RouteId]] = {}
    if not record.routes:
        return route_ids_by_method_and_path
    for route in after.routes_by_id.values():
        for method in route.methods:
            route_ids = route_ids_by_method_and_path.setdefault(
                (method, route.path_prefix.rstrip('/')), []
            )
            route_ids.append(route.route)
    return route_ids_by_method_and_path
