"""Command line of the node binary."""

import asyncio
import signal
import sys
from pathlib import Path

import click
from loguru import logger

from turmericwharf.protocol import decode_settings
from turmericwharf.state import NodeSettings, SettingsFailure
from turmericwharf.transport import NodeProcess
from turmericwharf_node.sidecar import sidecar

_EXIT_SETTINGS = 2


@click.group()
def main() -> None:
    """Run or check a node of the proxy fleet."""


@main.command()
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option('--log-level', default='INFO', show_default=True, help='Lowest level to log.')
def run(settings_file: Path, log_level: str) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it and exit with status 0."""
    settings = _load(settings_file)
    configure_logging(log_level)
    asyncio.run(_run(settings))


@main.command()
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(settings_file: Path) -> None:
    """Check a settings file; the exit status is 2 if it is invalid."""
    settings = _load(settings_file)
    click.echo(f'{settings_file} is valid for instance {settings.instance}')


main.add_command(sidecar)


def configure_logging(level: str) -> None:
    """Log JSON lines on standard error."""
    logger.remove()
    # Values of variables in tracebacks (`diagnose`) would show callers' keys.
    logger.add(sys.stderr, level=level, serialize=True, diagnose=False, backtrace=False)


def _load(settings_file: Path) -> NodeSettings:
    settings = decode_settings(settings_file.read_bytes())
    if isinstance(settings, SettingsFailure):
        click.echo(f'{settings_file}: {settings.detail}', err=True)
        sys.exit(_EXIT_SETTINGS)
    return settings


async def _run(settings: NodeSettings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await NodeProcess(settings).run(stopping)
