"""Limits of the fleet that can be reloaded while a node runs."""

import dataclasses

from loguru import logger

from turmericwharf.state.sidecar import SidecarBounds, SidecarSettings


class ReloadableBounds:
    """Bounds that are replaced when the settings file changes.

    Parameters
    ----------
    settings
        Settings that the node started with; its addresses and names change only with a restart.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self.current: SidecarBounds = settings.bounds

    def reload(self, settings: SidecarSettings) -> None:
        """Apply the bounds of changed settings, and log the fields that need a restart."""
        restart_fields = [
            field.name
            for field in dataclasses.fields(settings)
            if field.name != 'bounds'
            and getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        logger.bind(changed=settings.bounds != self.current, needs_restart=restart_fields).info(
            'settings_reloaded',
        )
        self.current = settings.bounds
