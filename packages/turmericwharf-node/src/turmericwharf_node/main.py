"""Command-line interface of the node binary."""

import asyncio
import signal
import sys
from pathlib import Path

import click
from loguru import logger

from turmericwharf.protocol import decode_settings
from turmericwharf.state import NodeSettings, SettingsFailure
from turmericwharf.transport import NodeProcess
from turmericwharf.transport.allocator import return_freed_memory
from turmericwharf_node.sidecar import sidecar

_EXIT_SETTINGS = 2


@click.group()
def main() -> None:
    """Run a node of the proxy fleet or validate its settings file."""


@main.command()
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    '--log-level', default='INFO', show_default=True, help='Minimum level of logged events.'
)
def run(settings_file: Path, log_level: str) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it and exit with status 0."""
    settings = _load_settings(settings_file)
    configure_logging(log_level)
    return_freed_memory()
    asyncio.run(_run_node(settings))


@main.command()
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(settings_file: Path) -> None:
    """Validate a settings file; the exit status is 2 if it is invalid."""
    settings = _load_settings(settings_file)
    click.echo(f'{settings_file} is valid for instance {settings.instance}')


main.add_command(sidecar)


def configure_logging(level: str) -> None:
    """Log JSON lines to standard error."""
    logger.remove()
    # `diagnose` prints the values of variables in tracebacks, which would expose callers' keys.
    logger.add(sys.stderr, level=level, serialize=True, diagnose=False, backtrace=False)


def _load_settings(settings_file: Path) -> NodeSettings:
    settings = decode_settings(settings_file.read_bytes())
    if isinstance(settings, SettingsFailure):
        click.echo(f'{settings_file}: {settings.detail}', err=True)
        sys.exit(_EXIT_SETTINGS)
    return settings


async def _run_node(settings: NodeSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await NodeProcess(settings).run(stopping)
