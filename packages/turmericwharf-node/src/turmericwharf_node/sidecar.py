"""Command line of a node on the platform."""

import asyncio
import sys
from pathlib import Path

import click

from turmericwharf.platform import configure_logging, read_settings, run_node, settings_path
from turmericwharf.state import SettingsFailure
from turmericwharf.state.sidecar import SidecarSettings

_EXIT_SETTINGS = 2


@click.group()
def sidecar() -> None:
    """Run or check a node beside one backend server, on the platform's machines."""


@sidecar.command('run')
def run_sidecar() -> None:
    """Run a node with the settings file that the platform names, until SIGTERM."""
    configure_logging()
    asyncio.run(run_node(_load(settings_path())))


@sidecar.command('check')
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check_sidecar(settings_file: Path) -> None:
    """Check a settings file of the platform; the exit status is 2 if it is invalid."""
    settings = _load(settings_file)
    click.echo(f'{settings_file} is valid for instance {settings.instance}')


def _load(path: Path) -> SidecarSettings:
    settings = read_settings(path)
    if isinstance(settings, SettingsFailure):
        click.echo(f'{path}: {settings.detail}', err=True)
        sys.exit(_EXIT_SETTINGS)
    return settings


if __name__ == '__main__':
    sidecar()
