"""The configuration that is in force at a node."""

import asyncio

from loguru import logger

from turmericwharf.coordination.sidecar.ports import ConfigurationDecoder
from turmericwharf.coordination.sidecar.routes import HostRouteIndex
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import KeyDigest
from turmericwharf.state.sidecar import (
    FleetConfiguration,
    ConfigurationHolderDump,
    OrganisationRule,
)


class ActiveConfiguration:
    """Newest known configuration; never reverts to an older version.

    Parameters
    ----------
    decode
        Decodes a published configuration.
    """

    def __init__(self, decode: ConfigurationDecoder) -> None:
        self._decode = decode
        self._organisations_by_key: dict[KeyDigest, OrganisationRule] = {}
        self._changed = asyncio.Event()
        self.encoded = b''
        self.current = FleetConfiguration()
        self.routes = HostRouteIndex(())

    @property
    def version(self) -> int:
        """Version in force; negative if no configuration is known."""
        return self.current.version

    @property
    def is_known(self) -> bool:
        """Whether any configuration is in force."""
        return self.current.version >= 0

    def apply_if_newer(self, encoded: bytes, *, source: str) -> bool:
        """Apply a published configuration if it is newer; return whether it was applied."""
        configuration = self._decode(encoded)
        if configuration is None:
            logger.bind(source=source, size_bytes=len(encoded)).warning('configuration_unreadable')
            return False
        if configuration.version <= self.current.version:
            return False
        logger.bind(
            source=source,
            version=configuration.version,
            replaced=self.current.version,
            routes=len(configuration.routes),
        ).info('configuration_applied')
        self.encoded = encoded
        self.current = configuration
        self.routes = HostRouteIndex(configuration.routes)
        self._organisations_by_key = {
            digest: organisation
            for organisation in configuration.organisations_by_id.values()
            for digest in organisation.key_digests
        }
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_newer(self, version: int, timeout_seconds: float) -> bool:
        """Wait until a version above the given one is in force; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self.version <= version:
                    await self._changed.wait()
        except TimeoutError:
            logger.bind(version=version).debug('configuration_unchanged')
            return False
        return True

    def find_organisation(self, digest: KeyDigest) -> OrganisationRule | None:
        """Return the organisation that owns a key, or None."""
        return self._organisations_by_key.get(digest)


@describe.register
def _(part: ActiveConfiguration) -> ConfigurationHolderDump:
    return ConfigurationHolderDump(
        version=part.version,
        routes=len(part.current.routes),
        organisations=len(part.current.organisations_by_id),
    )
