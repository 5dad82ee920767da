"""Starts a sidecar node on the platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from loguru import logger

from turmericwharf.coordination.memory import MemoryBudget, derive_limits
from turmericwharf.coordination.sidecar import SidecarNode, SidecarPorts, build_sidecar_node
from turmericwharf.platform.configuration import decode_configuration
from turmericwharf.platform.dialect import PlatformDialect
from turmericwharf.platform.handlers import PlatformHandlers
from turmericwharf.platform.names import SETTINGS_VARIABLE
from turmericwharf.platform.settings import decode_platform_settings
from turmericwharf.platform.store import PlatformStore
from turmericwharf.protocol import decode_node_entry
from turmericwharf.state import SettingsFailure, new_identifier
from turmericwharf.state.sidecar import (
    NO_SERVER,
    NodeEntry,
    ProcessId,
    ServerPhase,
    SidecarSettings,
)
from turmericwharf.transport.allocator import return_freed_memory
from turmericwharf.transport.clock import BootClock
from turmericwharf.transport.log_output import JsonLineSink
from turmericwharf.transport.sidecar import FleetLinkTable, ServerClient, SidecarProcess


def read_settings(path: Path) -> SidecarSettings | SettingsFailure:
    """Read and validate a settings file of the platform."""
    return decode_platform_settings(path.read_bytes())


def settings_path() -> Path:
    """Return the path of the settings file from the platform's environment variable."""
    return Path(os.environ[SETTINGS_VARIABLE])


async def run_node(settings: SidecarSettings) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP reloads its settings file."""
    if settings.machine.memory_megabytes:
        return_freed_memory()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    links = FleetLinkTable()
    dialect = PlatformDialect()
    node = build_platform_node(settings, links, dialect)
    links.attach_node(node)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, node)
    await SidecarProcess(node, PlatformHandlers(node, dialect), links).run(stopping)


def _reload_settings(node: SidecarNode) -> None:
    try:
        settings = read_settings(settings_path())
    except OSError as error:
        logger.bind(error=str(error)).error('settings_unreadable')
        return
    if isinstance(settings, SettingsFailure):
        logger.bind(detail=settings.detail).error('settings_invalid')
        return
    node.bounds.reload(settings)


def build_platform_node(
    settings: SidecarSettings,
    links: FleetLinkTable,
    dialect: PlatformDialect,
) -> SidecarNode:
    """Build a node that uses the platform's store and formats."""
    store = PlatformStore(settings.store)
    local_entry = NodeEntry(
        instance=settings.instance,
        process=ProcessId(new_identifier()),
        host=settings.listen.peers.host,
        peer_port=settings.listen.peers.port,
        data_centre=settings.data_centre,
        server=NO_SERVER,
        service=settings.service,
        slots=0,
        phase=ServerPhase.ABSENT,
        link_megabits=settings.link_megabits,
    )
    clock = BootClock()
    memory = MemoryBudget(derive_limits(settings.machine), clock)
    ports = SidecarPorts(
        clock=clock,
        log=store,
        store=store,
        links=links,
        server=ServerClient(settings.server, dialect, settings.responses, memory),
        decode_configuration=decode_configuration,
        decode_entry=decode_node_entry,
        memory=memory,
    )
    return build_sidecar_node(settings, local_entry, ports)


def configure_logging() -> None:
    """Log JSON lines on standard output."""
    logger.remove()
    logger.add(JsonLineSink(sys.stdout), level='INFO', format='{message}', diagnose=False)
