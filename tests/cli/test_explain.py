import json

from click.testing import CliRunner

from turmericwharf_cli.main import main


def make_log(path, *events):
    path.write_text(''.join(f'{json.dumps(event)}\n' for event in events))
    return str(path)


def test_story_of_a_request_is_told_over_the_logs_of_all_nodes(tmp_path):
    """An engineer would have to join the logs of many nodes by hand."""
    entry = make_log(
        tmp_path / 'entry.log',
        {'at': 10.0, 'event': 'attempt_ended', 'request': 'r1', 'outcome': 'answer_incomplete'},
        {
            'at': 10.1,
            'event': 'request_ended',
            'request': 'r1',
            'outcome': 'unknown_answer_incomplete',
        },
        {'at': 10.1, 'event': 'request_ended', 'request': 'r2', 'outcome': 'answered_200'},
    )
    server = make_log(
        tmp_path / 'server.log',
        {'at': 9.9, 'event': 'order_ran', 'request': 'r1', 'outcome': 'answer_incomplete'},
    )
    found = CliRunner().invoke(main, ['explain', 'r1', entry, server])
    assert found.exit_code == 0
    lines = found.output.splitlines()
    assert [line.split()[3] for line in lines[:3]] == [
        'order_ran',
        'attempt_ended',
        'request_ended',
    ]
    assert 'broke the connection after it had the request' in lines[-1]


def test_unknown_request_is_named(tmp_path):
    """A wrong id would look like a request that nothing happened to."""
    log = make_log(tmp_path / 'a.log', {'at': 1, 'event': 'node_started'})
    found = CliRunner().invoke(main, ['explain', 'r9', log])
    assert found.exit_code == 1
    assert "no line names request 'r9'" in found.output


def test_standard_input_and_broken_lines_are_read():
    """A truncated line would hide the rest of the log."""
    refused = {'at': 1, 'event': 'request_refused', 'request': 'r1', 'reason': 'rate_exceeded'}
    text = f'node-1 {json.dumps(refused)}\n{{"r1\n'
    found = CliRunner().invoke(main, ['explain', 'r1'], input=text)
    assert found.exit_code == 0
    assert 'above its rate' in found.output
