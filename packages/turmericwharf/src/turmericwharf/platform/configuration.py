"""Reads configurations that operators publish on the platform."""

from typing import Any

import msgspec
from loguru import logger

from turmericwharf.protocol import digest_key
from turmericwharf.state import OrganisationId, RouteId, ServiceId
from turmericwharf.state.sidecar import (
    ClientLimits,
    Destination,
    FleetConfiguration,
    OrganisationRule,
    RouteRule,
)

# Used where an operator sets none.
_DEFAULT_TIMEOUT_SECONDS = 30.0
_DEFAULT_TARGET_SECONDS = 1.0
_IDEMPOTENT = 'idempotent'


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    host: str
    path_prefix: str
    # Whether a request may run more than once.
    route_type: str
    service: str | None = None
    traffic_split: tuple[_Part, ...] = ()
    # Longest time until the final answer, not a time-out of one attempt.
    timeout_s: float | None = msgspec.field(default=None, name='timeoutS')
    target_latency_s: float | None = msgspec.field(default=None, name='targetLatencyS')
    # Most servers that one request may reach, the first one included.
    attempts: int = 1
    priority: int = 0
    # Needs no key.
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    health_check_path: str = '/'


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = msgspec.field(default=3, name='headerTimeoutS')
    idle_timeout_s: float = msgspec.field(default=15, name='idleTimeoutS')


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    api_keys: tuple[str, ...] = ()
    rate_per_s: float | None = msgspec.field(default=None, name='ratePerS')
    burst: float | None = None
    priority: int | None = None


class _Configuration(msgspec.Struct, frozen=True):
    # Eight hexadecimal digits.
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service] = {}
    limits: _Limits = _Limits()
    tenants: dict[str, _Tenant] | None = None


def decode_configuration(encoded: bytes) -> FleetConfiguration | None:
    """Return a configuration, or None if it cannot be read."""
    try:
        found = msgspec.json.decode(encoded, type=_Configuration)
        return _translate(found)
    except (msgspec.DecodeError, ValueError) as error:
        logger.bind(error=str(error)).warning('configuration_malformed')
        return None


def _translate(found: _Configuration) -> FleetConfiguration:
    tenants = found.tenants or {}
    limits = found.limits
    return FleetConfiguration(
        version=int(found.version, 16),
        routes=tuple(_read_route(name, route) for name, route in found.routes.items()),
        health_paths_by_service={
            ServiceId(name): service.health_check_path for name, service in found.services.items()
        },
        organisations_by_id={
            OrganisationId(name): _read_organisation(name, tenant)
            for name, tenant in tenants.items()
        },
        has_organisations=found.tenants is not None,
        limits=ClientLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_s,
            idle_seconds=limits.idle_timeout_s,
        ),
    )


def _read_route(name: str, route: _Route) -> RouteRule:
    parts: tuple[Any, ...] = route.traffic_split
    if route.service is not None and not parts:
        parts = (_Part(route.service),)
    return RouteRule(
        route=RouteId(name),
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        destinations=tuple(Destination(ServiceId(one.service), one.weight) for one in parts),
        idempotent=route.route_type == _IDEMPOTENT,
        public=route.public,
        attempts=max(route.attempts, 1),
        timeout_seconds=route.timeout_s or _DEFAULT_TIMEOUT_SECONDS,
        target_seconds=route.target_latency_s or _DEFAULT_TARGET_SECONDS,
        priority=route.priority,
    )


def _read_organisation(name: str, tenant: _Tenant) -> OrganisationRule:
    return OrganisationRule(
        organisation=OrganisationId(name),
        key_digests=tuple(digest_key(key) for key in tenant.api_keys),
        rate_per_second=tenant.rate_per_s or 0,
        burst=tenant.burst or 0,
        priority=tenant.priority,
    )
