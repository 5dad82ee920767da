"""The bounds of the fleet that are in force at a node."""

import dataclasses

from loguru import logger

from turmericwharf.state.sidecar import SidecarBounds, SidecarSettings


class ReloadableBounds:
    """Bounds that a changed settings file replaces while the node runs.

    Parameters
    ----------
    settings
        Settings that the node started with; its addresses and names hold until it ends.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self.current: SidecarBounds = settings.bounds

    def reload(self, settings: SidecarSettings) -> None:
        """Apply the bounds of changed settings, and name what takes a restart."""
        kept = [
            field.name
            for field in dataclasses.fields(settings)
            if field.name != 'bounds'
            and getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        logger.bind(changed=settings.bounds != self.current, needs_restart=kept).info(
            'settings_reloaded',
        )
        self.current = settings.bounds
