"""Commands that create, change and remove configuration objects."""

import dataclasses
from typing import Any

import click

from turmericwharf.state import Audience, Importance, ObjectKind, ExecutionSemantics
from turmericwharf_cli.session import Session, fail

_METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_NOT_FOUND = 404
_OK = 200
_name_argument = click.argument('name')


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """How one kind of object stands in a change."""

    kind: ObjectKind
    changes_field: str
    name_field: str
    required: tuple[str, ...]


_ORGANISATION = _Kind(
    ObjectKind.ORGANISATION,
    'organisations',
    'organisation',
    ('rate_per_second', 'burst'),
)
_WORK_CLASS = _Kind(
    ObjectKind.WORK_CLASS,
    'classes',
    'work_class',
    ('answer_within_milliseconds',),
)
_SERVICE = _Kind(ObjectKind.SERVICE, 'services', 'service', ())
_ROUTE = _Kind(
    ObjectKind.ROUTE,
    'routes',
    'route',
    ('methods', 'path_prefix', 'service', 'work_class'),
)


@click.group('organisation')
def organisation() -> None:
    """Organisations with their rates."""


@organisation.command('set')
@_name_argument
@click.option('--rate', 'rate_per_second', type=float, help='Requests a second.')
@click.option('--burst', type=float, help='Requests at once above the rate.')
@click.pass_obj
def set_organisation(session: Session, /, name: str, **given: Any) -> None:
    """Create the organisation NAME or change its rate or burst."""
    _set(session, _ORGANISATION, name, given)


@organisation.command('remove')
@_name_argument
@click.pass_obj
def remove_organisation(session: Session, name: str) -> None:
    """Remove the organisation NAME; all of its keys must be withdrawn before."""
    _remove(session, _ORGANISATION, name)


@click.group('class')
def work_class() -> None:
    """Classes of work with their targets."""


@work_class.command('set')
@_name_argument
@click.option('--answer-within-ms', 'answer_within_milliseconds', type=int, help='Deadline.')
@click.option(
    '--run',
    type=click.Choice([target.value for target in ExecutionSemantics]),
    help='How many times a request may run; repeatable if not given for a new class.',
)
@click.option(
    '--importance',
    type=click.Choice([one.name.lower() for one in Importance]),
    help='What goes first when work queues; normal if not given for a new class.',
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
    _set(session, _WORK_CLASS, name, given)


@work_class.command('remove')
@_name_argument
@click.pass_obj
def remove_class(session: Session, name: str) -> None:
    """Remove the class NAME; no route may use it."""
    _remove(session, _WORK_CLASS, name)


@click.group('service')
def service() -> None:
    """Services and the capacity that ejecting backend servers must leave."""


@service.command('set')
@_name_argument
@click.option('--floor', 'floor_fraction', type=float, help='Share of capacity, from 0 to 1.')
@click.pass_obj
def set_service(session: Session, /, name: str, **given: Any) -> None:
    """Create the service NAME or change its floor."""
    _set(session, _SERVICE, name, given)


@service.command('remove')
@_name_argument
@click.pass_obj
def remove_service(session: Session, name: str) -> None:
    """Remove the service NAME; no route may use it."""
    _remove(session, _SERVICE, name)


@click.group('route')
def route() -> None:
    """Routes: which requests are work of which class for which service."""


@route.command('set')
@_name_argument
@click.option(
    '--method',
    'methods',
    multiple=True,
    type=click.Choice(_METHODS),
    help='May be given several times.',
)
@click.option('--path-prefix', help='Path that starts with "/"; whole segments match.')
@click.option('--service', help='Service that runs the requests.')
@click.option('--class', 'work_class', help='Class of the work.')
@click.option(
    '--audience',
    type=click.Choice([one.value for one in Audience]),
    help='Who may call: everybody with a key, or only services of the fleet.',
)
@click.pass_obj
def set_route(session: Session, /, name: str, **given: Any) -> None:
    """Create the route NAME or change it."""
    given['methods'] = list(given['methods']) or None
    _set(session, _ROUTE, name, given)


@route.command('remove')
@_name_argument
@click.pass_obj
def remove_route(session: Session, name: str) -> None:
    """Remove the route NAME."""
    _remove(session, _ROUTE, name)


def _set(session: Session, kind: _Kind, name: str, given: dict[str, Any]) -> None:
    # The version is asked first, so that a change made after it gives a conflict.
    version = int(session.get('/version')['version'])
    page = session.client.get(f'/configuration/{kind.kind.value}/{name}')
    if page.status not in {_OK, _NOT_FOUND}:
        session.finish(page)
    known = page.content if page.status == _OK else {kind.name_field: name}
    changed = {**known, **{field: found for field, found in given.items() if found is not None}}
    missing = [field for field in kind.required if field not in changed]
    if missing:
        fail(f'{kind.kind.value} {name!r} is new; also give: {", ".join(missing)}')
    session.finish(session.publish({kind.changes_field: [changed]}, version))


def _remove(session: Session, kind: _Kind, name: str) -> None:
    removal = {'kind': kind.kind.value, 'name': name}
    session.finish(session.publish({'removals': [removal]}))
