"""Command-line interface of a sidecar node on the platform."""

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
    """Run a sidecar node of one backend server on the platform, or validate its settings file."""


@sidecar.command('run')
def run_sidecar() -> None:
    """Run a node until SIGTERM or SIGINT, with the settings file that the platform provides."""
    configure_logging()
    asyncio.run(run_node(_load_settings(settings_path())))


@sidecar.command('check')
@click.argument('settings_file', type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check_sidecar(settings_file: Path) -> None:
    """Validate a settings file of the platform; the exit status is 2 if it is invalid."""
    settings = _load_settings(settings_file)
    click.echo(f'{settings_file} is valid for instance {settings.instance}')


def _load_settings(path: Path) -> SidecarSettings:
    settings = read_settings(path)
    if isinstance(settings, SettingsFailure):
        click.echo(f'{path}: {settings.detail}', err=True)
        sys.exit(_EXIT_SETTINGS)
    return settings


if __name__ == '__main__':
    sidecar()
