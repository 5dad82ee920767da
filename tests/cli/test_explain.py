import json

from click.testing import CliRunner

from turmericwharf_cli.main import main


def make_log(path, *events):
    path.write_text(''.join(f'{json.dumps(event)}\n' for event in events))
    return str(path)


def test_events_of_all_logs_are_merged_in_order(tmp_path):
    """Guards against missing or misordered events when the logs of several nodes are merged."""
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
    result = CliRunner().invoke(main, ['explain', 'r1', entry, server])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line.split()[3] for line in lines[:3]] == [
        'order_ran',
        'attempt_ended',
        'request_ended',
    ]
    assert 'broke the connection after it had the request' in lines[-1]


def test_unknown_request_is_an_error(tmp_path):
    """Guards against an unknown id that looks like a request without events."""
    log = make_log(tmp_path / 'a.log', {'at': 1, 'event': 'node_started'})
    result = CliRunner().invoke(main, ['explain', 'r9', log])
    assert result.exit_code == 1
    assert "no line names request 'r9'" in result.output


def test_malformed_lines_of_standard_input_are_skipped():
    """Guards against a truncated line that makes the command fail or hides other events."""
    refused = {'at': 1, 'event': 'request_refused', 'request': 'r1', 'reason': 'rate_exceeded'}
    text = f'node-1 {json.dumps(refused)}\n{{"r1\n'
    result = CliRunner().invoke(main, ['explain', 'r1'], input=text)
    assert result.exit_code == 0
    assert 'above its rate' in result.output
