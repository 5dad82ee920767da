"""Decodes the settings file that the platform writes."""

import math
from typing import Annotated

import msgspec

from turmericwharf.protocol import decode_json
from turmericwharf.state import (
    DataCentreId,
    InstanceId,
    Reason,
    ServiceId,
    SettingsFailure,
    MachineLimits,
)
from turmericwharf.state.sidecar import (
    Address,
    SidecarBounds,
    SidecarListen,
    SidecarSettings,
    StoreSettings,
)

# 200 are reserved for files; a node needs some more for its own connections.
_MIN_DESCRIPTORS = 256


class _MachineLimits(msgspec.Struct, frozen=True, rename='camel'):
    link_mbps: float = 0
    memory_mb: float = 0
    max_fds: int = 0


class _LocalNode(msgspec.Struct, frozen=True, rename='camel'):
    node_name: str
    ip: str
    zone: str
    # Address of the local backend server.
    app_addr: str
    # Service of the local backend server.
    service: str
    limits: _MachineLimits = _MachineLimits()


class _Listen(msgspec.Struct, frozen=True):
    # Address for requests of local clients and of the local backend server.
    outbound: str
    ready: str
    # Address for the announcements of the local backend server.
    control: str


class _Network(msgspec.Struct, frozen=True, rename='camel'):
    listen: _Listen
    # First and last port of the range for communication between nodes.
    port_range: tuple[int, int]


class _Store(msgspec.Struct, frozen=True):
    address: str


class _Platform(msgspec.Struct, frozen=True):
    # The inner object has the same name as the outer one and holds only the address of the store.
    platform: _Store


_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    retry_budget_ratio: float = 0.2
    budget_extra_retries: float = 0
    budget_window_s: float = msgspec.field(default=10, name='budgetWindowS')
    grace_s: float = msgspec.field(default=6, name='graceS')
    quota_window_s: float = msgspec.field(default=5, name='quotaWindowS')
    quota_overage: float = 0
    quota_slack: float = 0
    config_apply_s: float = msgspec.field(default=2, name='configApplyS')
    cold_overage: _NotNegative = 0
    cold_slack: _NotNegative = 0
    evacuate_s: _Positive = msgspec.field(default=5, name='evacuateS')


class _Terms(msgspec.Struct, frozen=True):
    bounds: _Bounds = _Bounds()


class _SettingsFile(msgspec.Struct, frozen=True, rename='camel'):
    local_node: _LocalNode
    network: _Network
    platform: _Platform
    terms: _Terms = _Terms()


def decode_platform_settings(encoded: bytes) -> SidecarSettings | SettingsFailure:
    """Decode settings; a failure names the invalid field or value and what is expected."""
    try:
        decoded = decode_json(encoded, _SettingsFile)
    except msgspec.DecodeError as error:
        return SettingsFailure(Reason.SETTINGS_INVALID, str(error))
    try:
        return _translate(decoded)
    except ValueError as error:
        return SettingsFailure(Reason.SETTINGS_INVALID, str(error))


def _translate(decoded: _SettingsFile) -> SidecarSettings:
    listen, bounds = decoded.network.listen, decoded.terms.bounds
    host = decoded.local_node.ip
    first_port = decoded.network.port_range[0]
    return SidecarSettings(
        instance=InstanceId(decoded.local_node.node_name),
        data_centre=DataCentreId(decoded.local_node.zone),
        service=ServiceId(decoded.local_node.service),
        server=read_address(decoded.local_node.app_addr),
        listen=SidecarListen(
            clients=read_address(listen.outbound),
            readiness=read_address(listen.ready),
            announcements=read_address(listen.control),
            peers=Address(host, first_port),
            operators=Address(host, first_port + 1),
        ),
        store=StoreSettings(read_address(decoded.platform.platform.address)),
        bounds=SidecarBounds(
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.budget_extra_retries,
            retry_window_seconds=bounds.budget_window_s,
            grace_seconds=bounds.grace_s,
            rate_window_seconds=bounds.quota_window_s,
            rate_overage=bounds.quota_overage,
            rate_slack=bounds.quota_slack,
            configuration_seconds=bounds.config_apply_s,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            evacuation_seconds=bounds.evacuate_s,
        ),
        link_megabits=decoded.local_node.limits.link_mbps,
        machine=_read_machine_limits(decoded.local_node.limits),
    )


def _read_machine_limits(limits: _MachineLimits) -> MachineLimits:
    if limits.memory_mb < 0 or not math.isfinite(limits.memory_mb):
        raise ValueError(
            f'invalid localNode.limits.memoryMb {limits.memory_mb}: expected megabytes, or 0 for '
            'no limit'
        )
    if limits.max_fds and limits.max_fds < _MIN_DESCRIPTORS:
        raise ValueError(
            f'invalid localNode.limits.maxFds {limits.max_fds}: expected at least '
            f'{_MIN_DESCRIPTORS}, or 0 for no limit'
        )
    return MachineLimits(memory_megabytes=limits.memory_mb, descriptors=limits.max_fds)


def read_address(text: str) -> Address:
    """Return an address from `host:port`.

    Raises
    ------
    ValueError
        If the text does not have this form.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'invalid address {text!r}: expected "IP:PORT"')
    return Address(host, int(port))
