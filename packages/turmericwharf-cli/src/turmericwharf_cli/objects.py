"""Commands that create, change and remove configuration objects."""

import dataclasses
from typing import Any

import click

from turmericwharf.state import Audience, ExecutionSemantics, Importance, ObjectKind
from turmericwharf_cli.session import Session, fail

_METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_NOT_FOUND = 404
_OK = 200
_name_argument = click.argument('name')


@dataclasses.dataclass(frozen=True, slots=True)
class _KindFields:
    """Fields that one kind of configuration object has in a change."""

    kind: ObjectKind
    changes_field: str
    name_field: str
    required: tuple[str, ...]


_ORGANISATION = _KindFields(
    ObjectKind.ORGANISATION,
    'organisations',
    'organisation',
    ('rate_per_second', 'burst'),
)
_WORK_CLASS = _KindFields(
    ObjectKind.WORK_CLASS,
    'classes',
    'work_class',
    ('answer_within_milliseconds',),
)
_SERVICE = _KindFields(ObjectKind.SERVICE, 'services', 'service', ())
_ROUTE = _KindFields(
    ObjectKind.ROUTE,
    'routes',
    'route',
    ('methods', 'path_prefix', 'service', 'work_class'),
)


@click.group('organisation')
def organisation() -> None:
    """Manage organisations and their rates."""


@organisation.command('set')
@_name_argument
@click.option('--rate', 'rate_per_second', type=float, help='Requests per second.')
@click.option('--burst', type=float, help='Requests allowed at once above the rate.')
@click.pass_obj
def set_organisation(session: Session, /, name: str, **given: Any) -> None:
    """Create the organisation NAME or change its rate or burst."""
    _set_object(session, _ORGANISATION, name, given)


@organisation.command('remove')
@_name_argument
@click.pass_obj
def remove_organisation(session: Session, name: str) -> None:
    """Remove the organisation NAME; all of its keys must be withdrawn first."""
    _remove_object(session, _ORGANISATION, name)


@click.group('class')
def work_class() -> None:
    """Manage work classes and their targets."""


@work_class.command('set')
@_name_argument
@click.option(
    '--answer-within-ms', 'answer_within_milliseconds', type=int, help='Deadline in milliseconds.'
)
@click.option(
    '--run',
    type=click.Choice([semantics.value for semantics in ExecutionSemantics]),
    help='Whether a request may run more than once; a new class defaults to repeatable.',
)
@click.option(
    '--importance',
    type=click.Choice([level.name.lower() for level in Importance]),
    help='Priority of queued work; a new class defaults to normal.',
)
@click.option(
    '--never-refused/--may-be-refused',
    'never_refused_inside_rate',
    default=None,
    help='Whether requests inside the rate may be refused to protect other work.',
)
@click.pass_obj
def set_class(session: Session, /, name: str, **given: Any) -> None:
    """Create the class NAME or change its targets."""
    importance = given['importance']
    if importance is not None:
        given['importance'] = Importance[importance.upper()].value
    _set_object(session, _WORK_CLASS, name, given)


@work_class.command('remove')
@_name_argument
@click.pass_obj
def remove_class(session: Session, name: str) -> None:
    """Remove the class NAME; no route may use it."""
    _remove_object(session, _WORK_CLASS, name)


@click.group('service')
def service() -> None:
    """Manage services and the capacity that ejections of backend servers must leave."""


@service.command('set')
@_name_argument
@click.option(
    '--floor', 'floor_fraction', type=float, help='Minimum share of capacity, from 0 to 1.'
)
@click.pass_obj
def set_service(session: Session, /, name: str, **given: Any) -> None:
    """Create the service NAME or change its floor."""
    _set_object(session, _SERVICE, name, given)


@service.command('remove')
@_name_argument
@click.pass_obj
def remove_service(session: Session, name: str) -> None:
    """Remove the service NAME; no route may use it."""
    _remove_object(session, _SERVICE, name)


@click.group('route')
def route() -> None:
    """Manage routes, which assign requests to a work class and a service."""


@route.command('set')
@_name_argument
@click.option(
    '--method',
    'methods',
    multiple=True,
    type=click.Choice(_METHODS),
    help='HTTP method; may be given several times.',
)
@click.option('--path-prefix', help='Path prefix that starts with "/" and matches whole segments.')
@click.option('--service', help='Service that runs the requests.')
@click.option('--class', 'work_class', help='Work class of the requests.')
@click.option(
    '--audience',
    type=click.Choice([audience.value for audience in Audience]),
    help='Allowed callers: anyone with a key, or only services of the fleet.',
)
@click.pass_obj
def set_route(session: Session, /, name: str, **given: Any) -> None:
    """Create the route NAME or change it."""
    given['methods'] = list(given['methods']) or None
    _set_object(session, _ROUTE, name, given)


@route.command('remove')
@_name_argument
@click.pass_obj
def remove_route(session: Session, name: str) -> None:
    """Remove the route NAME."""
    _remove_object(session, _ROUTE, name)


def _set_object(session: Session, fields: _KindFields, name: str, given: dict[str, Any]) -> None:
    # The version is read before the object, so that a concurrent change of the object after that
    # read causes a conflict.
    version = int(session.get('/version')['version'])
    response = session.client.get(f'/configuration/{fields.kind.value}/{name}')
    if response.status not in {_OK, _NOT_FOUND}:
        session.finish(response)
    current = response.content if response.status == _OK else {fields.name_field: name}
    changed = {
        **current,
        **{field: option for field, option in given.items() if option is not None},
    }
    missing = [field for field in fields.required if field not in changed]
    if missing:
        fail(
            f'{fields.kind.value} {name!r} does not exist; to create it, give: {", ".join(missing)}'
        )
    session.finish(session.publish({fields.changes_field: [changed]}, version))


def _remove_object(session: Session, fields: _KindFields, name: str) -> None:
    removal = {'kind': fields.kind.value, 'name': name}
    session.finish(session.publish({'removals': [removal]}))
