"""Tells what happened to one request, from the logs of many nodes."""

import json
import sys
from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any, TextIO

import click

_HIDDEN = frozenset(('at', 'level', 'event', 'request', 'source_log'))
_CAUSES = MappingProxyType(
    {
        'rate_exceeded': 'the organisation was above its rate, or holders of its rate were silent',
        'queue_full': 'the expected wait at the server was longer than the answer is useful for',
        'deadline_passed': 'no server got to the request in time',
        'breaker_open': 'the server was failing, and the request was kept from it',
        'answer_incomplete': 'the server broke the connection after it had the request',
        'answer_timeout': 'the server gave no answer in time',
        'peer_link_lost': 'the node beside the server was lost after it had the request',
        'process_replaced': 'the node beside the server was restarted after it had the request',
        'server_draining': 'the server or the node beside it was leaving',
        'configuration_outdated': 'a newer configuration sends the request elsewhere',
        'no_capacity': 'no node announced a server of the service',
        'not_ready': 'the node had no configuration yet',
    },
)
_FINAL_EVENTS = frozenset(('request_ended', 'request_refused'))


@click.command()
@click.argument('request')
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def explain(request: str, logs: tuple[TextIO, ...]) -> None:
    """Print what the nodes logged about REQUEST, in order of time.

    LOGS are files of JSON lines, one or more for each node; without any, standard input is read.
    """
    sources: tuple[TextIO, ...] = logs or (sys.stdin,)
    events = [one for source in sources for one in read_events(source, request)]
    if not events:
        raise click.ClickException(
            f'no line names request {request!r}: valid is an id that a client sent, '
            'with the logs of the node that took it',
        )
    for line in tell(sorted(events, key=_moment)):
        click.echo(line)


def read_events(lines: Iterable[str], request: str) -> Iterator[dict[str, Any]]:
    """Yield the events of a request; a line may have other text before its JSON."""
    name = getattr(lines, 'name', '')
    for line in lines:
        start = line.find('{')
        if start < 0 or request not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if event.get('request') == request:
            yield {**event, 'source_log': line[:start].strip() or name}


def tell(events: list[dict[str, Any]]) -> Iterator[str]:
    """Yield the lines of one request's story."""
    began_at = _moment(events[0])
    for event in events:
        details = ' '.join(f'{key}={found}' for key, found in event.items() if key not in _HIDDEN)
        after = _moment(event) - began_at
        yield f'{after:+8.3f} s  {event["source_log"]:<24} {event["event"]:<18} {details}'
    yield from _conclude(events)


def _conclude(events: list[dict[str, Any]]) -> Iterator[str]:
    final = next((one for one in reversed(events) if one['event'] in _FINAL_EVENTS), None)
    if final is None:
        yield 'no outcome: the client left, the node ended, or its log is not among these'
        return
    outcome = str(final.get('outcome') or final.get('reason'))
    cause = next((text for word, text in _CAUSES.items() if word in outcome), None)
    yield f'outcome: {outcome}: {cause}' if cause else f'outcome: {outcome}'


def _moment(event: dict[str, Any]) -> float:
    return float(event.get('at', 0))
