"""Network connections of a sidecar node."""

from turmericwharf.transport.sidecar.links import FleetLinkTable
from turmericwharf.transport.sidecar.process import SidecarHandlers, SidecarProcess
from turmericwharf.transport.sidecar.server_client import ServerClient, ServerDialect

__all__ = (
    'FleetLinkTable',
    'ServerClient',
    'ServerDialect',
    'SidecarHandlers',
    'SidecarProcess',
)
