"""Adapter to the platform: wire names, formats and API calls, without any decisions."""

from turmericwharf.platform.main import (
    configure_logging,
    read_settings,
    run_node,
    settings_path,
)

__all__ = (
    'configure_logging',
    'read_settings',
    'run_node',
    'settings_path',
)
