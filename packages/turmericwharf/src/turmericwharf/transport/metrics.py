"""Prometheus metrics of a node, rendered from the state dump on each request."""

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from turmericwharf.protocol import HttpResponse

_OK = 200
_LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, math.inf)
_COUNTER_SUFFIX = '_total'
_NUMERIC_TYPES = (bool, int, float)
_COLLECTOR_TYPES_BY_IS_COUNTER: Mapping[bool, type[Collector]] = MappingProxyType(
    {True: Counter, False: Gauge},
)


class LatencyHistogram:
    """Histogram of the time in seconds from a client request to its outcome, by outcome."""

    def __init__(self) -> None:
        self._histogram = Histogram(
            'turmericwharf_request_seconds',
            'Seconds from the request to its outcome',
            buckets=_LATENCY_BUCKETS,
        )

    def record(self, outcome: str, seconds: float) -> None:
        """Record one request with its outcome and duration."""
        self._histogram.add({'outcome': outcome}, seconds)

    def register(self, registry: Registry) -> None:
        """Add the histogram to a registry."""
        registry.register(self._histogram)


def render_metrics(
    dumps_by_part: Mapping[str, object],
    latencies: LatencyHistogram | None = None,
) -> HttpResponse:
    """Return all numeric fields of the state dump in the text format of Prometheus."""
    registry = Registry()
    if latencies is not None:
        latencies.register(registry)
    for part, dump in dumps_by_part.items():
        for field in dataclasses.fields(dump):  # type: ignore[arg-type]
            _add_collector(registry, f'{part}_{field.name}', getattr(dump, field.name))
    body, headers = render(registry, ['text/plain'])
    return HttpResponse(_OK, tuple(headers.items()), body)


def _add_collector(registry: Registry, name: str, metric: object) -> None:
    numbers = {'': metric} if isinstance(metric, _NUMERIC_TYPES) else metric
    if not isinstance(numbers, Mapping):
        return
    numbers = {
        label: number for label, number in numbers.items() if isinstance(number, _NUMERIC_TYPES)
    }
    if not numbers:
        return
    collector_type = _COLLECTOR_TYPES_BY_IS_COUNTER[name.endswith(_COUNTER_SUFFIX)]
    collector = collector_type(
        f'turmericwharf_{name}',
        f'Field {name} of the state dump',
        registry=registry,
    )
    for label, number in numbers.items():
        collector.set_value({'of': label} if label else {}, float(number))
