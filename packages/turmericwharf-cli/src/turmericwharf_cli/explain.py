"""Reconstructs the history of one request from the logs of several nodes."""

import json
import sys
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any, TextIO

import click

_HIDDEN_FIELDS = frozenset(('at', 'level', 'event', 'request', 'source_log'))
_CAUSE_BY_REASON = MappingProxyType(
    {
        'rate_exceeded': 'the organisation was above its rate, or holders of its rate were silent',
        'queue_full': 'the wait at the server would exceed the time in which a response is useful',
        'deadline_passed': 'the deadline passed before a server ran the request',
        'breaker_open': 'the server was failing, so the request was not sent to it',
        'answer_incomplete': 'the server broke the connection after it had the request',
        'answer_timeout': 'the server did not respond in time',
        'peer_link_lost': 'the link to the node of the server was lost after the request was sent',
        'process_replaced': 'the node of the server was restarted after the request was sent to it',
        'server_draining': 'the server or its node was draining',
        'configuration_outdated': 'a newer configuration routes the request elsewhere',
        'server_cold': 'the server was cold, or of unknown state, and took no more requests then',
        'data_centre_evacuated': 'the operators had evacuated the data centre of the server',
        'no_capacity': 'no node announced a server of the service',
        'not_ready': 'the node had no configuration yet',
    },
)
_FINAL_EVENTS = frozenset(('request_ended', 'request_refused'))


@click.command()
@click.argument('request')
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def explain(request: str, logs: tuple[TextIO, ...]) -> None:
    """Print the logged events of REQUEST from all nodes in chronological order.

    LOGS are files of JSON lines, one or more per node; standard input is read if none is given.
    """
    sources: tuple[TextIO, ...] = logs or (sys.stdin,)
    events = [event for source in sources for event in read_events(source, request)]
    if not events:
        raise click.ClickException(
            f'no line names request {request!r}: give the request id that the client sent '
            'and the logs of the node that received the request',
        )
    for line in format_events(sorted(events, key=_timestamp)):
        click.echo(line)


def read_events(lines: Iterable[str], request: str) -> Iterator[dict[str, Any]]:
    """Yield the events of a request; other text may precede the JSON object of a line."""
    source_name = getattr(lines, 'name', '')
    for line in lines:
        start = line.find('{')
        if start < 0 or request not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if event.get('request') == request:
            yield {**event, 'source_log': line[:start].strip() or source_name}


def format_events(events: list[dict[str, Any]]) -> Iterator[str]:
    """Yield one line per event and a last line with the outcome."""
    began_at = _timestamp(events[0])
    for event in events:
        details = ' '.join(
            f'{key}={value}' for key, value in event.items() if key not in _HIDDEN_FIELDS
        )
        elapsed_seconds = _timestamp(event) - began_at
        yield f'{elapsed_seconds:+8.3f} s  {event["source_log"]:<24} {event["event"]:<18} {details}'
    yield from _format_outcome(events)


def _format_outcome(events: list[dict[str, Any]]) -> Iterator[str]:
    final = next((event for event in reversed(events) if event['event'] in _FINAL_EVENTS), None)
    if final is None:
        yield 'no outcome: the client disconnected, the node stopped, or its log was not given'
        return
    outcome = str(final.get('outcome') or final.get('reason'))
    cause = next((text for reason, text in _CAUSE_BY_REASON.items() if reason in outcome), None)
    yield f'outcome: {outcome}: {cause}' if cause else f'outcome: {outcome}'


def _timestamp(event: dict[str, Any]) -> float:
    return float(event.get('at', 0))
