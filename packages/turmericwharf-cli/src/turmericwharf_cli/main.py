"""Commands for operators."""

import json
import secrets
from pathlib import Path
from typing import Any

import click
import msgspec

from turmericwharf.protocol import decode_plain_change, digest_key
from turmericwharf.state import (
    Key,
    KeyId,
    OrganisationId,
    PublishFailure,
    new_identifier,
)
from turmericwharf_cli.client import OperatorResponse
from turmericwharf_cli.explain import explain
from turmericwharf_cli.objects import organisation, route, service, work_class
from turmericwharf_cli.session import EXIT_INVALID, EXIT_STATUS_HELP, Session, fail

_KEY_BYTES = 32
_OK = 200
_NOT_CONFIRMED = 202
_CHANGE_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_RESERVED_FIELDS = frozenset(('publish_id', 'base_version', 'operator'))


@click.group('turmericwharf', epilog=EXIT_STATUS_HELP)
@click.option('--node', envvar='TURMERICWHARF_NODE', help='URL of an operator port.')
@click.option('--token', envvar='TURMERICWHARF_TOKEN', help="Operator's token.")
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.pass_context
def main(context: click.Context, node: str | None, token: str | None, as_json: bool) -> None:
    """Publish configuration and inspect the fleet."""
    context.obj = Session(node, token, as_json)


main.add_command(organisation)
main.add_command(work_class)
main.add_command(service)
main.add_command(route)
main.add_command(explain)


@main.command()
@click.argument('change_file', type=_CHANGE_FILE)
@click.option(
    '--base-version',
    type=int,
    help='Version that the change is based on; defaults to the one in force at the node.',
)
@click.option('--publish-id', help='Id of an earlier attempt whose outcome is unknown.')
@click.pass_obj
def publish(
    session: Session,
    change_file: Path,
    base_version: int | None,
    publish_id: str | None,
) -> None:
    """Publish the organisations, classes, services, routes and removals of a JSON file."""
    changes = _read_change(change_file)
    if publish_id is not None:
        changes['publish_id'] = publish_id
    session.finish(session.publish(changes, base_version))


@main.command()
@click.argument('change_file', type=_CHANGE_FILE)
@click.pass_obj
def check(session: Session, change_file: Path) -> None:
    """Check a change file without publishing it.

    With --node, references to other objects are checked too.
    """
    changes = _read_change(change_file)
    if session.node is None:
        session.show({'valid': True, 'references': 'not checked, since no --node is given'})
        return
    version = int(session.get('/version')['version'])
    payload = {'publish_id': new_identifier(), 'base_version': version, **changes}
    response = session.client.post('/check', payload)
    valid = OperatorResponse(_OK, {'valid': True, 'references': 'checked'})
    session.finish(valid if response.status == _OK else response)


@main.command('issue-key')
@click.argument('organisation_name', metavar='ORGANISATION')
@click.pass_obj
def issue_key(session: Session, organisation_name: str) -> None:
    """Issue a key for an organisation and print it; it cannot be shown again."""
    key_id = new_identifier()
    key = f'tw_{key_id}_{secrets.token_urlsafe(_KEY_BYTES)}'
    record = Key(digest_key(key), KeyId(key_id), OrganisationId(organisation_name))
    response = session.publish({'keys': [msgspec.to_builtins(record)]})
    if response.status in {_OK, _NOT_CONFIRMED}:
        response = OperatorResponse(
            response.status, {'key': key, 'key_id': key_id, **response.content}
        )
    session.finish(response)


@main.command('withdraw-key')
@click.argument('key_id')
@click.pass_obj
def withdraw_key(session: Session, key_id: str) -> None:
    """Withdraw the key KEY_ID permanently on all nodes."""
    key_fields = session.get(f'/configuration/key/{key_id}')
    session.finish(session.publish({'keys': [{**key_fields, 'withdrawn': True}]}))


@main.command()
@click.argument('name', required=False)
@click.pass_obj
def show(session: Session, name: str | None) -> None:
    """Show the configuration in force at the node, or one object such as route/bookings."""
    session.show(session.get(f'/configuration/{name}' if name else '/configuration'))


@main.command('in-force')
@click.pass_obj
def in_force(session: Session) -> None:
    """Show which version is in force at each node."""
    session.show(session.get('/in-force'))


@main.command('dump')
@click.pass_obj
def dump(session: Session) -> None:
    """Show the current state of the node and the age of its observations."""
    session.show(session.get('/state'))


def _read_change(change_file: Path) -> dict[str, Any]:
    try:
        document = json.loads(change_file.read_bytes())
    except ValueError as error:
        fail(f'{change_file} is not JSON: {error}', EXIT_INVALID)
    if not isinstance(document, dict):
        fail(f'{change_file} does not contain a JSON object', EXIT_INVALID)
    reserved = sorted(_RESERVED_FIELDS & document.keys())
    if reserved:
        fail(f'{change_file}: {", ".join(reserved)} not allowed in a change file', EXIT_INVALID)
    change = decode_plain_change({'publish_id': '', 'base_version': -1, **document}, '')
    if isinstance(change, PublishFailure):
        fail(f'{change_file}: {change.detail}', EXIT_INVALID)
    return document
