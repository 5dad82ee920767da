"""The platform's names, formats and calls; nothing here decides."""

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
