"""Decodes the configuration that operators publish on the platform."""

from typing import Any

import msgspec
from loguru import logger

from turmericwharf.protocol import decode_json, digest_key
from turmericwharf.state import OrganisationId, RouteId, ServiceId
from turmericwharf.state.sidecar import (
    ClientLimits,
    ColdLimit,
    Destination,
    FleetConfiguration,
    OrganisationRule,
    RouteRule,
)

# Defaults for routes that set no value.
_DEFAULT_TIMEOUT_SECONDS = 30.0
_DEFAULT_TARGET_SECONDS = 1.0
_IDEMPOTENT = 'idempotent'


class _TrafficShare(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    host: str
    path_prefix: str
    # Decides whether a request may run more than once.
    route_type: str
    service: str | None = None
    traffic_split: tuple[_TrafficShare, ...] = ()
    # Maximum time until the final response over all attempts, not the timeout of one attempt.
    timeout_s: float | None = msgspec.field(default=None, name='timeoutS')
    target_latency_s: float | None = msgspec.field(default=None, name='targetLatencyS')
    # Maximum number of servers that a request may be sent to, including the first.
    attempts: int = 1
    priority: int = 0
    # Whether requests need no API key.
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    health_check_path: str = '/'
    # Time after its start for which a server is cold, and the requests per second that it takes
    # meanwhile; 0 stands for no limit.
    cold_start_s: float = msgspec.field(default=0, name='coldStartS')
    cold_per_s: float = msgspec.field(default=0, name='coldPerS')


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
    """Return the configuration, or None if it is malformed."""
    try:
        decoded = decode_json(encoded, _Configuration)
        return _translate(decoded)
    except (msgspec.DecodeError, ValueError) as error:
        logger.bind(error=str(error)).warning('configuration_malformed')
        return None


def _translate(decoded: _Configuration) -> FleetConfiguration:
    tenants = decoded.tenants or {}
    limits = decoded.limits
    return FleetConfiguration(
        version=int(decoded.version, 16),
        routes=tuple(_translate_route(name, route) for name, route in decoded.routes.items()),
        health_paths_by_service={
            ServiceId(name): service.health_check_path for name, service in decoded.services.items()
        },
        organisations_by_id={
            OrganisationId(name): _translate_organisation(name, tenant)
            for name, tenant in tenants.items()
        },
        has_organisations=decoded.tenants is not None,
        limits=ClientLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_s,
            idle_seconds=limits.idle_timeout_s,
        ),
        cold_limits_by_service={
            ServiceId(name): ColdLimit(max(service.cold_start_s, 0), service.cold_per_s)
            for name, service in decoded.services.items()
            if service.cold_per_s > 0
        },
    )


def _translate_route(name: str, route: _Route) -> RouteRule:
    shares: tuple[Any, ...] = route.traffic_split
    if route.service is not None and not shares:
        shares = (_TrafficShare(route.service),)
    return RouteRule(
        route=RouteId(name),
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        destinations=tuple(Destination(ServiceId(share.service), share.weight) for share in shares),
        idempotent=route.route_type == _IDEMPOTENT,
        public=route.public,
        attempts=max(route.attempts, 1),
        timeout_seconds=route.timeout_s or _DEFAULT_TIMEOUT_SECONDS,
        target_seconds=route.target_latency_s or _DEFAULT_TARGET_SECONDS,
        priority=route.priority,
    )


def _translate_organisation(name: str, tenant: _Tenant) -> OrganisationRule:
    return OrganisationRule(
        organisation=OrganisationId(name),
        key_digests=tuple(digest_key(key) for key in tenant.api_keys),
        rate_per_second=tenant.rate_per_s or 0,
        burst=tenant.burst or 0,
        priority=tenant.priority,
    )
