"""Help texts, errors and exit statuses of the operators' command-line interface."""

import json
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from tests.fleet_processes import free_port
from turmericwharf_cli.client import OperatorClient, OperatorResponse
from turmericwharf_cli.main import main

EXAMPLES = Path(__file__).parents[2] / 'examples'


def run(*arguments, node='http://127.0.0.1:1'):
    global_options = ('--node', node, '--token', 'token-of-ann')
    return CliRunner().invoke(main, [*global_options, *arguments])


def commands(group, path=()):
    for name, command in sorted(group.commands.items()):
        yield (*path, name)
        if isinstance(command, click.Group):
            yield from commands(command, (*path, name))


@pytest.mark.parametrize('path', [(), *commands(main)], ids=' '.join)
def test_help_of_every_command_needs_no_node(path, snapshot):
    """Guards against help texts that need a node or omit an exit status."""
    result = CliRunner().invoke(main, [*path, '--help'])
    assert result.exit_code == 0
    assert result.output == snapshot


def test_unreachable_node_is_reported_in_one_line():
    """Guards against a traceback, or a leak of the token, when the node is unreachable."""
    result = run('show', node=f'http://127.0.0.1:{free_port()}')
    assert result.exit_code == 5
    assert len(result.output.splitlines()) == 1
    assert 'token-of-ann' not in result.output


INVALID_ARGUMENTS = {
    'no node': ([], ('show',)),
    'no URL': (['--node', 'localhost:1', '--token', 'x'], ('show',)),
    'floor': ([], ('service', 'set', 'x', '--floor', 'half')),
    'audience': ([], ('route', 'set', 'x', '--audience', 'all')),
}  # fmt: skip


@pytest.mark.parametrize('name', INVALID_ARGUMENTS)
def test_usage_errors_name_the_value_and_the_valid_ones(name, snapshot):
    """Guards against usage errors that do not name the invalid value and the valid ones."""
    global_options, arguments = INVALID_ARGUMENTS[name]
    result = CliRunner().invoke(main, [*global_options, *arguments])
    assert (result.exit_code, result.output) == snapshot


INVALID_CHANGES = {
    'unknown field': {'organisation': []},
    'weight': {'services': [{'service': 'x', 'weight': 3}]},
    'wrong type': {'organisations': [{'organisation': 'x', 'rate_per_second': 'all', 'burst': 1}]},
    'wrong choice': {'routes': [{'route': 'x', 'audience': 'all'}]},
    'reserved field': {'operator': 'bob'},
}


@pytest.mark.parametrize('name', INVALID_CHANGES)
def test_change_files_are_checked_without_a_node(name, snapshot, tmp_path, monkeypatch):
    """Guards against invalid values, weights and misspelt fields that are silently ignored."""
    monkeypatch.chdir(tmp_path)
    Path('change.json').write_text(json.dumps(INVALID_CHANGES[name]))
    result = CliRunner().invoke(main, ['check', 'change.json'])
    assert (result.exit_code, result.output) == snapshot


@pytest.mark.parametrize('path', sorted(EXAMPLES.glob('*/configuration.json')), ids=str)
def test_documented_examples_are_valid(path):
    """Guards against documented examples that are not valid change files."""
    assert CliRunner().invoke(main, ['check', str(path)]).exit_code == 0


@pytest.mark.parametrize(
    ('status', 'exit_status'),
    [(200, 0), (202, 6), (401, 7), (409, 3), (422, 4), (500, 1), (503, 5)],
)
def test_response_status_maps_to_exit_status(status, exit_status, monkeypatch):
    """Guards against a failed change that a script takes as done because of exit status 0."""
    sent = []

    def record_post(client, path, content):
        sent.append((path, content))
        return OperatorResponse(status, {'detail': 'why'})

    monkeypatch.setattr(
        OperatorClient, 'get', lambda client, path: OperatorResponse(200, {'version': 7})
    )
    monkeypatch.setattr(OperatorClient, 'post', record_post)
    assert run('organisation', 'remove', 'x').exit_code == exit_status
    ((path, content),) = sent
    assert (path, content['base_version']) == ('/publish', 7)
    assert content['removals'] == [{'kind': 'organisation', 'name': 'x'}]
