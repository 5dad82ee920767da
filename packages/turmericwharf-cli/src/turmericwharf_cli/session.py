"""Options, client, output and exit statuses that all commands share."""

import dataclasses
import json
import sys
from functools import cached_property
from types import MappingProxyType
from typing import Any, NoReturn

import click

from turmericwharf.state import new_identifier
from turmericwharf_cli.client import OperatorClient, OperatorResponse
from turmericwharf_cli.text import to_text

_OK = 200
_EXIT_FAILURE = 1
_EXIT_USAGE = 2
EXIT_INVALID = 4
_EXIT_STATUS_BY_HTTP_STATUS = MappingProxyType(
    {
        200: 0,
        202: 6,
        400: EXIT_INVALID,
        401: 7,
        404: 8,
        409: 3,
        422: EXIT_INVALID,
        503: 5,
        599: 5,
    },
)
EXIT_STATUS_HELP = """\b
Exit status:
  0  done; a change is in force at a majority of the nodes
  1  another failure
  2  wrong use of the command line
  3  another operator changed the same object; nothing was changed
  4  the change is not valid; nothing was changed
  5  the node or its log cannot be reached, or did not confirm in time
  6  the change is in the log, but not confirmed at a majority of the nodes
  7  the operator's token is not known
  8  no such object
"""


@dataclasses.dataclass(frozen=True)
class Session:
    """Options that all commands share.

    Parameters
    ----------
    as_json
        Whether to print JSON instead of text.
    """

    node: str | None
    token: str | None
    as_json: bool

    @cached_property
    def client(self) -> OperatorClient:
        """The client of the node.

        Raises
        ------
        click.UsageError
            If the node or the token is missing, or the node is not an HTTP URL.
        """
        if not self.node or not self.token:
            option = 'token' if self.node else 'node'
            message = f'give --{option} or set TURMERICWHARF_{option.upper()}'
            raise click.UsageError(message)
        if not self.node.startswith(('http://', 'https://')):
            message = f'--node is {self.node!r}; it must start with http:// or https://'
            raise click.UsageError(message)
        return OperatorClient(self.node, self.token)

    def get(self, path: str) -> Any:
        """Send a GET request and return the content; on failure, print the error and exit."""
        response = self.client.get(path)
        if response.status != _OK:
            self.finish(response)
        return response.content

    def publish(self, changes: dict[str, Any], base_version: int | None = None) -> OperatorResponse:
        """Publish changes and return the response of the node."""
        if base_version is None:
            base_version = int(self.get('/version')['version'])
        payload = {'publish_id': new_identifier(), 'base_version': base_version, **changes}
        response = self.client.post('/publish', payload)
        return OperatorResponse(
            response.status, {'publish_id': payload['publish_id'], **response.content}
        )

    def finish(self, response: OperatorResponse) -> NoReturn:
        """Print a response of the node and exit with the corresponding status."""
        is_failure = response.status not in {_OK, 202}
        if self.as_json:
            click.echo(json.dumps(response.content, indent=2, sort_keys=True))
        elif is_failure:
            click.echo(f'Error: {self.node}: {response.content.get("detail")}', err=True)
            publish_id = response.content.get('publish_id')
            if publish_id is not None:
                click.echo(f'The publish id is {publish_id}.', err=True)
        else:
            click.echo(to_text(response.content))
        sys.exit(_EXIT_STATUS_BY_HTTP_STATUS.get(response.status, _EXIT_FAILURE))

    def show(self, content: Any) -> None:
        """Print content as JSON or text, depending on the options."""
        click.echo(
            json.dumps(content, indent=2, sort_keys=True) if self.as_json else to_text(content)
        )


def fail(message: str, status: int = _EXIT_USAGE) -> NoReturn:
    """Print an error message and exit."""
    click.echo(f'Error: {message}', err=True)
    sys.exit(status)
