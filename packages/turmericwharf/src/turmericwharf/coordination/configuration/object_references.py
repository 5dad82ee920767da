"""Lookup of configuration objects and of the references between them."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

from turmericwharf.coordination.configuration.object_names import object_name
from turmericwharf.state import Configuration, ConfigurationObject, ObjectKind

FIELDS_BY_KIND = MappingProxyType(
    {
        ObjectKind.ORGANISATION: 'organisations_by_id',
        ObjectKind.WORK_CLASS: 'classes_by_id',
        ObjectKind.SERVICE: 'services_by_id',
        ObjectKind.ROUTE: 'routes_by_id',
    },
)
_KIND_NAMES = frozenset(kind.value for kind in ObjectKind)


def objects_by_name(kind: ObjectKind, configuration: Configuration) -> Mapping[str, Any]:
    """Return all objects of a kind by name."""
    named: Mapping[str, Any] = getattr(configuration, FIELDS_BY_KIND[kind])
    return named


def find_object(name: str, configuration: Configuration) -> ConfigurationObject | None:
    """Return an object by its qualified name, for example `route/bookings`, or None."""
    kind, _, object_id = name.partition('/')
    if kind == 'key':
        keys = configuration.keys_by_digest.values()
        return next((key for key in keys if key.key_id == object_id), None)
    if kind not in _KIND_NAMES:
        return None
    return objects_by_name(ObjectKind(kind), configuration).get(object_id)


def find_referrer(kind: ObjectKind, name: str, configuration: Configuration) -> str | None:
    """Return the qualified name of one object that refers to the given one, or None."""
    return next(_REFERRERS_BY_KIND[kind](name, configuration), None)


def _organisation_referrers(name: str, configuration: Configuration) -> Iterator[str]:
    return (
        object_name(key)
        for key in configuration.keys_by_digest.values()
        if key.organisation == name and not key.withdrawn
    )


def _class_referrers(name: str, configuration: Configuration) -> Iterator[str]:
    routes = configuration.routes_by_id.values()
    return (object_name(route) for route in routes if route.work_class == name)


def _service_referrers(name: str, configuration: Configuration) -> Iterator[str]:
    routes = configuration.routes_by_id.values()
    return (object_name(route) for route in routes if route.service == name)


def _no_referrers(name: str, configuration: Configuration) -> Iterator[str]:
    return iter(())


_REFERRERS_BY_KIND = MappingProxyType(
    {
        ObjectKind.ORGANISATION: _organisation_referrers,
        ObjectKind.WORK_CLASS: _class_referrers,
        ObjectKind.SERVICE: _service_referrers,
        ObjectKind.ROUTE: _no_referrers,
    },
)
